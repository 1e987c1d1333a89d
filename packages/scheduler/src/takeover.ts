/**
 * Takeover of a failure domain by a new scheduler: fences every target with the
 * new term, which also reads its leases, then reconciles every active gang and
 * stops orphans. An orphan is a run on a target that the ledger does not have as
 * active.
 */
import type {Job} from '@galenavalve/ledger';
import {createReason} from '@galenavalve/model';
import type {Milliseconds} from '@galenavalve/shared';
import type {LeaseReport, TargetReport} from '@galenavalve/targets';
import {toCurrentGangAttempt} from './gang_attempt.js';
import {STOP_NOW, stopGangAndWait} from './gang_stop_coordinator.js';
import type {SchedulerContext} from './scheduler_context.js';

/** Delay before unreachable targets are fenced again. */
const FENCE_RETRY_DELAY_MS: Milliseconds = 300;

type ReportsByTarget = Map<string, TargetReport>;

/** Fences all targets and reconciles all gangs. Resolves when passes over the queue may begin. */
export async function fenceAndReconcile(
  context: SchedulerContext,
): Promise<void> {
  const {state, domain, targetFencer, term, logger} = context;
  const targets = [...state.configuration.targets.values()]
    .filter(target => target.domain === domain)
    .map(target => target.id);
  const {reports, unreachable} = await targetFencer.fenceAll(targets, term);
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
  await stopOrphans(context, reports);
}

/** Adds a gang whose members all run to the lease renewer, and ends one that runs partially. */
async function reconcile(
  context: SchedulerContext,
  job: Job,
  reports: ReportsByTarget,
): Promise<void> {
  const leases = await readLeases(context, job, reports);
  if (job.phase === 'running' || isRunningWhole(job, leases)) {
    const gangAttempt = toCurrentGangAttempt(job, context.term);
    context.leaseRenewer.addGang(gangAttempt);
    if (job.phase === 'placed') {
      await context.record({
        type: 'started',
        ...getAttemptFields(context, job),
      });
    }
    return;
  }
  await endPartialGang(context, job, leases);
}

/**
 * Returns the leases of the job's current attempt by target. Members that are
 * unreachable are fenced again until their lease must have expired.
 */
async function readLeases(
  context: SchedulerContext,
  job: Job,
  reports: ReportsByTarget,
): Promise<Map<string, LeaseReport | undefined>> {
  const leases = new Map<string, LeaseReport | undefined>();
  const members = job.assignments.map(({target}) => target);
  const deadline = context.clock.now() + context.leaseRenewer.leaseMs;
  const addReports = (received: ReportsByTarget) => {
    for (const target of members) {
      const report = received.get(target);
      if (report) {
        leases.set(target, findLease(report, job));
      }
    }
  };
  addReports(reports);
  while (
    job.phase === 'placed' &&
    leases.size < members.length &&
    context.clock.now() < deadline &&
    !context.signal.aborted
  ) {
    await context.clock.sleep(FENCE_RETRY_DELAY_MS, context.signal);
    const missing = members.filter(target => !leases.has(target));
    const retryResult = await context.targetFencer.fenceAll(
      missing,
      context.term,
    );
    addReports(retryResult.reports);
  }
  return leases;
}

async function endPartialGang(
  context: SchedulerContext,
  job: Job,
  leases: Map<string, LeaseReport | undefined>,
): Promise<void> {
  const gangAttempt = toCurrentGangAttempt(job, context.term);
  await stopGangAndWait(context, gangAttempt, STOP_NOW);
  // Only a reservation proves that a member has not started. A target that was
  // restarted has lost its leases and does not report earlier runs.
  const unprovenMember = job.assignments.find(
    ({target}) => leases.get(target)?.state !== 'reserved',
  );
  const mayHaveRun = unprovenMember !== undefined;
  await context.record({
    type: 'unplaced',
    ...getAttemptFields(context, job),
    mayHaveRun,
    progressSeconds: job.progressSeconds,
    reason: unprovenMember
      ? createReason('start-unknown', {target: unprovenMember.target})
      : createReason('fenced-not-started'),
  });
}

/** Stops attempts on targets that the ledger does not have as active. */
async function stopOrphans(
  context: SchedulerContext,
  reports: ReportsByTarget,
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
      context.logger.warn('orphan-stopped', {
        target,
        jobId: lease.jobId,
        attempt: lease.attempt,
      });
      const orphan = {
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
      stops.push(context.starter.stop(orphan, STOP_NOW));
    }
  }
  await Promise.all(stops);
}

function isRunningWhole(
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

function getAttemptFields(context: SchedulerContext, job: Job) {
  return {
    jobId: job.jobId,
    attempt: job.attempts,
    domain: context.domain,
    term: context.term,
  };
}
