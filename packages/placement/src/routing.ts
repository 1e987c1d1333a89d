/** Chooses the failure domain of a job, and moves queued jobs that cannot start in their domain. */
import {type Assignment, type Reason, createReason} from '@galenavalve/model';
import type {Cells} from './cells.js';
import {MEDIAN_QUANTILE} from './run_time_estimator.js';
import {findGuaranteedPlace} from './guaranteed_search.js';
import {findUnmetConstraint} from './infeasibility.js';
import type {WaitingJob} from './policy.js';
import {countRequiredAccelerators} from './queue_order.js';
import {planReclaim} from './reclaim.js';
import {estimateEnd} from './reservation.js';
import {findBestFit} from './best_fit_search.js';

/** Ways in which a job could start in a domain at once, best first. */
export const START_OPTIONS = [
  'guaranteed',
  'borrowed',
  'reclaim',
  'none',
] as const;
export type StartOption = (typeof START_OPTIONS)[number];

/** Properties of one failure domain that routing of one job considers. */
export interface DomainSummary {
  domain: string;
  isInService: boolean;
  /** Why the job can never run there; undefined if it can. */
  infeasibility?: Reason;
  startOption: StartOption;
  /** Free accelerators of the rack in which the job would start; 0 if it would wait or reclaim. */
  rackFree: number;
  /** Expected time until the queue and the running gangs are finished, in seconds. */
  backlogSeconds: number;
}

/** A chosen failure domain. */
export interface Route {
  domain: string;
  reason: Reason;
}

/** A decision to move a queued job. */
export interface Move {
  jobId: string;
  from: string;
  to: string;
  reason: Reason;
}

/**
 * Minimum time that a job stays in a domain before it may move to another domain
 * that has free capacity for it. Prevents thrashing when a domain returns to
 * service.
 */
const MIN_STAY_MS = 10_000;

/** Summarizes one domain for one job. */
export function summarizeDomain(
  cells: Cells,
  backlogSeconds: number,
  job: WaitingJob,
  now: number,
): DomainSummary {
  const infeasibility = findUnmetConstraint(cells, job);
  const {domain, isInService} = cells;
  const start =
    infeasibility || !isInService ? NO_START : findStart(cells, job, now);
  return {
    domain,
    isInService,
    infeasibility,
    ...start,
    backlogSeconds,
  };
}

/**
 * Chooses a domain: in service before out of service, then by start option, then
 * the fullest rack, so that large blocks stay intact, then the shortest backlog.
 * Returns undefined if the job can run in none.
 */
export function chooseDomain(
  summaries: readonly DomainSummary[],
): Route | undefined {
  const feasible = summaries.filter(({infeasibility}) => !infeasibility);
  const best = [...feasible].sort(compareSummaries)[0];
  if (!best) {
    return undefined;
  }
  const {domain} = best;
  if (feasible.length === 1) {
    return {domain, reason: createReason('routed-only', {domain})};
  }
  const code = best.startOption === 'none' ? 'routed-queue' : 'routed-capacity';
  return {domain, reason: createReason(code, {domain})};
}

/** Finds a better domain for a job that waits in `from`; returns undefined if it should stay. */
export function findMove(
  job: WaitingJob,
  from: DomainSummary,
  others: readonly DomainSummary[],
  /** Wall-clock milliseconds at which the job arrived in `from`. */
  arrivedAt: number,
  now: number,
): Move | undefined {
  const candidates = others.filter(
    ({infeasibility, isInService, domain}) =>
      !infeasibility && isInService && domain !== from.domain,
  );
  const best = candidates.sort(compareSummaries)[0];
  if (!best) {
    return undefined;
  }
  const details = {from: from.domain, domain: best.domain};
  const move = {jobId: job.jobId, from: from.domain, to: best.domain};
  if (!from.isInService) {
    return {...move, reason: createReason('moved-domain-out', details)};
  }
  const canStart = best.startOption !== 'none';
  const isStuck =
    from.infeasibility !== undefined || from.startOption === 'none';
  if (!canStart || !isStuck || now - arrivedAt < MIN_STAY_MS) {
    return undefined;
  }
  return {...move, reason: createReason('moved-capacity', details)};
}

/**
 * Estimates the time in seconds in which all accelerators together finish the
 * waiting and running work.
 */
export function estimateBacklog(
  cells: Cells,
  queue: readonly WaitingJob[],
  now: number,
): number {
  let acceleratorSeconds = 0;
  for (const job of queue) {
    const {workspace, kind, expectedSeconds} = job;
    const seconds = cells.estimates.estimate(
      workspace,
      kind,
      expectedSeconds,
      MEDIAN_QUANTILE,
    );
    acceleratorSeconds += seconds * countRequiredAccelerators(job);
  }
  for (const gang of cells.listGangs()) {
    acceleratorSeconds +=
      ((estimateEnd(cells, gang, now) - now) / 1000) *
      countRequiredAccelerators(gang);
  }
  const capacity = cells.getMaxCellSize('domain');
  return capacity === 0 ? Infinity : acceleratorSeconds / capacity;
}

function compareSummaries(a: DomainSummary, b: DomainSummary): number {
  return (
    Number(b.isInService) - Number(a.isInService) ||
    START_OPTIONS.indexOf(a.startOption) -
      START_OPTIONS.indexOf(b.startOption) ||
    a.rackFree - b.rackFree ||
    a.backlogSeconds - b.backlogSeconds ||
    (a.domain < b.domain ? -1 : 1)
  );
}

type Start = Pick<DomainSummary, 'startOption' | 'rackFree'>;

const NO_START: Start = {startOption: 'none', rackFree: 0};

function findStart(cells: Cells, job: WaitingJob, now: number): Start {
  const allowAll = () => true;
  const filter = {isOpenInGuarantee: allowAll, isOpenElsewhere: allowAll};
  const hasGuarantee =
    cells.guaranteedCells.getWorkspace(job.workspace).unusedAccelerators >=
    countRequiredAccelerators(job);
  const guaranteed = hasGuarantee && findGuaranteedPlace(cells, job, filter);
  if (guaranteed) {
    return createStart(cells, 'guaranteed', guaranteed);
  }
  const borrowed = cells.rules.borrowing && findBestFit(cells, job);
  if (borrowed) {
    return createStart(cells, 'borrowed', borrowed);
  }
  return hasGuarantee && planReclaim(cells, job, now)
    ? {startOption: 'reclaim', rackFree: 0}
    : NO_START;
}

function createStart(
  cells: Cells,
  startOption: StartOption,
  assignments: readonly Assignment[],
): Start {
  const target = cells.targets.get(assignments[0]!.target)!;
  return {startOption, rackFree: target.rack.free};
}
