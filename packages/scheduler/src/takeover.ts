/**
 * What a new scheduler of a domain does first: fence every target by its term,
 * read back the leases, and finish or stop every gang that its predecessor left
 * half done.
 */
import type {Job} from '@galenavalve/ledger';
import {createReason} from '@galenavalve/model';
import type {Milliseconds} from '@galenavalve/shared';
import type {LeaseReport, TargetReport} from '@galenavalve/targets';
import {toCurrentGangAttempt} from './gang_attempt.js';
import {STOP_NOW, stopGangAndWait} from './gang_stop_coordinator.js';
import type {SchedulerContext} from './scheduler_context.js';

/** Pause between two tries to fence targets that did not answer. */
const RETRY_MS: Milliseconds = 300;

type Reports = Map<string, TargetReport>;

/** Fences and reconciles. Resolves when passes over the queue may begin. */
export async function fenceAndReconcile(
  context: SchedulerContext,
): Promise<void> {
  const {state, domain, targetFencer: takeover, term, logger} = context;
  const targets = [...state.configuration.targets.values()]
    .filter(target => target.domain === domain)
    .map(target => target.id);
  const {reports, unreachable} = await takeover.fenceAll(targets, term);
  logger.info('took-over', {
    domain,
    term,
    fenced: reports.size,
    unreachable,
  });
  for (const target of unreachable) {
    context.health.setUnreachable(target, true);
  }
  const active = [...state.listActiveJobs(domain)];
  await Promise.all(active.map(job => reconcile(context, job, reports)));
  await stopStrays(context, reports);
}

/** Follows a gang that runs whole, and ends one that does not. */
async function reconcile(
  context: SchedulerContext,
  job: Job,
  reports: Reports,
): Promise<void> {
  const leases = await readLeases(context, job, reports);
  if (job.phase === 'running' || isWhole(job, leases)) {
    const order = toCurrentGangAttempt(job, context.term);
    context.leaseRenewer.addGang(order);
    if (job.phase === 'placed') {
      await context.record({type: 'started', ...attemptOf(context, job)});
    }
    return;
  }
  await endPartial(context, job, leases);
}

/**
 * The leases of the job's present attempt by target. Members that did not
 * answer are asked again until their lease must have lapsed.
 */
async function readLeases(
  context: SchedulerContext,
  job: Job,
  reports: Reports,
): Promise<Map<string, LeaseReport | undefined>> {
  const leases = new Map<string, LeaseReport | undefined>();
  const members = job.assignments.map(({target}) => target);
  const end = context.clock.now() + context.leaseRenewer.leaseMs;
  const noteReports = (from: Reports) => {
    for (const target of members) {
      const report = from.get(target);
      if (report) {
        leases.set(target, findLease(report, job));
      }
    }
  };
  noteReports(reports);
  while (
    job.phase === 'placed' &&
    leases.size < members.length &&
    context.clock.now() < end &&
    !context.signal.aborted
  ) {
    await context.clock.sleep(RETRY_MS, context.signal);
    const missing = members.filter(target => !leases.has(target));
    const again = await context.targetFencer.fenceAll(missing, context.term);
    noteReports(again.reports);
  }
  return leases;
}

async function endPartial(
  context: SchedulerContext,
  job: Job,
  leases: Map<string, LeaseReport | undefined>,
): Promise<void> {
  const order = toCurrentGangAttempt(job, context.term);
  await stopGangAndWait(context, order, STOP_NOW);
  // Only a reservation proves that a member has not started: a target that was
  // restarted since does not know what it ran before.
  const suspect = job.assignments.find(
    ({target}) => leases.get(target)?.state !== 'reserved',
  );
  const mayHaveRun = suspect !== undefined;
  await context.record({
    type: 'unplaced',
    ...attemptOf(context, job),
    mayHaveRun,
    progressSeconds: job.progressSeconds,
    reason: suspect
      ? createReason('start-unknown', {target: suspect.target})
      : createReason('fenced-not-started'),
  });
}

/** Stops attempts on targets that the ledger does not hold as active. */
async function stopStrays(
  context: SchedulerContext,
  reports: Reports,
): Promise<void> {
  const stops: Promise<unknown>[] = [];
  for (const [target, report] of reports) {
    for (const lease of report.leases) {
      const job = context.state.getJob(lease.jobId);
      const isActive =
        job?.attempts === lease.attempt &&
        (job.phase === 'placed' || job.phase === 'running');
      if (
        isActive ||
        (lease.state !== 'running' && lease.state !== 'reserved')
      ) {
        continue;
      }
      context.logger.warn('stray-stopped', {
        target,
        jobId: lease.jobId,
        attempt: lease.attempt,
      });
      const stray = {
        jobId: lease.jobId,
        attempt: lease.attempt,
        term: context.term,
        assignments: [
          {
            target,
            firstTask: lease.firstTask,
            tasks: lease.tasks,
            accelerators: 0,
          },
        ],
      };
      stops.push(context.starter.stop(stray, STOP_NOW));
    }
  }
  await Promise.all(stops);
}

function isWhole(
  job: Job,
  leases: Map<string, LeaseReport | undefined>,
): boolean {
  return job.assignments.every(({target}) => {
    const state = leases.get(target)?.state;
    return state === 'running' || state === 'succeeded';
  });
}

function findLease(report: TargetReport, job: Job): LeaseReport | undefined {
  return report.leases.find(
    lease => lease.jobId === job.jobId && lease.attempt === job.attempts,
  );
}

function attemptOf(context: SchedulerContext, job: Job) {
  return {
    jobId: job.jobId,
    attempt: job.attempts,
    domain: context.domain,
    term: context.term,
  };
}
