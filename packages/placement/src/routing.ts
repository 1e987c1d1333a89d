/** Chooses the failure domain of a job, and moves queued jobs whose domain cannot serve them. */
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

/** How a job could start in a domain at once, best first. */
export const START_OPTIONS = [
  'guaranteed',
  'borrowed',
  'reclaim',
  'none',
] as const;
export type StartOption = (typeof START_OPTIONS)[number];

/** What routing knows of one failure domain for one job. */
export interface DomainSummary {
  domain: string;
  isInService: boolean;
  /** Why the job can never run there, if it cannot. */
  infeasibility?: Reason;
  startOption: StartOption;
  /** Free accelerators of the rack in which the job would start; 0 when it would wait. */
  rackFree: number;
  /** Expected time until the queue and the running gangs are done, in seconds. */
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
 * Time that a job stays in a domain before it moves to free capacity, in
 * milliseconds. It keeps work from thrashing when a domain comes back.
 */
const MOVE_AFTER_MS = 10_000;

/** Sums up one domain for one job. */
export function summarizeDomain(
  cells: Cells,
  backlogSeconds: number,
  job: WaitingJob,
  now: number,
): DomainSummary {
  const impossibility = findUnmetConstraint(cells, job);
  const {domain, isInService} = cells;
  const start =
    impossibility || !isInService ? NO_START : findStart(cells, job, now);
  return {
    domain,
    isInService,
    infeasibility: impossibility,
    ...start,
    backlogSeconds,
  };
}

/**
 * Chooses a domain: in service before out of service, then by how the job can
 * start, then the fullest rack, so that large blocks stay whole, then by
 * backlog. Undefined when the job can run in none.
 */
export function chooseDomain(
  summaries: readonly DomainSummary[],
): Route | undefined {
  const possible = summaries.filter(
    ({infeasibility: impossibility}) => !impossibility,
  );
  const best = [...possible].sort(compareSummaries)[0];
  if (!best) {
    return undefined;
  }
  const {domain} = best;
  if (possible.length === 1) {
    return {domain, reason: createReason('routed-only', {domain})};
  }
  const code = best.startOption === 'none' ? 'routed-queue' : 'routed-capacity';
  return {domain, reason: createReason(code, {domain})};
}

/** Finds a better domain for a job that waits in `from`; undefined when it should stay. */
export function findMove(
  job: WaitingJob,
  from: DomainSummary,
  others: readonly DomainSummary[],
  /** Wall-clock milliseconds at which the job came to `from`. */
  arrivedAt: number,
  now: number,
): Move | undefined {
  const candidates = others.filter(
    ({infeasibility: impossibility, isInService, domain}) =>
      !impossibility && isInService && domain !== from.domain,
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
  if (!canStart || !isStuck || now - arrivedAt < MOVE_AFTER_MS) {
    return undefined;
  }
  return {...move, reason: createReason('moved-capacity', details)};
}

/** Time in seconds until all accelerators have done the work that waits or runs. */
export function estimateBacklog(
  cells: Cells,
  queue: readonly WaitingJob[],
  now: number,
): number {
  let work = 0;
  for (const job of queue) {
    const {workspace, kind, expectedSeconds} = job;
    const seconds = cells.estimates.estimate(
      workspace,
      kind,
      expectedSeconds,
      MEDIAN_QUANTILE,
    );
    work += seconds * countRequiredAccelerators(job);
  }
  for (const gang of cells.listGangs()) {
    work +=
      ((estimateEnd(cells, gang, now) - now) / 1000) *
      countRequiredAccelerators(gang);
  }
  const capacity = cells.getMaxCellSize('domain');
  return capacity === 0 ? Infinity : work / capacity;
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
  const isOpen = () => true;
  const open = {isOpenInGuarantee: isOpen, isOpenElsewhere: isOpen};
  const hasGuarantee =
    cells.guaranteedCells.getWorkspace(job.workspace).unusedAccelerators >=
    countRequiredAccelerators(job);
  const guaranteed = hasGuarantee && findGuaranteedPlace(cells, job, open);
  if (guaranteed) {
    return toStart(cells, 'guaranteed', guaranteed);
  }
  const borrowed = cells.rules.borrowing && findBestFit(cells, job);
  if (borrowed) {
    return toStart(cells, 'borrowed', borrowed);
  }
  return hasGuarantee && planReclaim(cells, job, now)
    ? {startOption: 'reclaim', rackFree: 0}
    : NO_START;
}

function toStart(
  cells: Cells,
  startOption: StartOption,
  assignments: readonly Assignment[],
): Start {
  const target = cells.targets.get(assignments[0]!.target)!;
  return {startOption, rackFree: target.rack.free};
}
