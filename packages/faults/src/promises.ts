/** Checks of the system's promises against the history of an exploration and the runs on its targets. */
import type {Job} from '@galenavalve/ledger';
import {type Instant, type Milliseconds, hashValue} from '@galenavalve/shared';
import {type RunEvent, computeLongestPartialRunMs} from '@galenavalve/targets';
import type {ObservedRequest} from './exploration_history.js';
import {FRESHNESS_BOUND_MS, RESERVATION_TTL_MS} from './guards.js';
import {CALL_TIMEOUT_MS, LEASE_MS, RENEW_MS} from './instance.js';
import type {SimulatedCluster} from './simulated_cluster.js';

/** Names of the checked promises. */
export type PromiseName =
  | 'no-start-after-take-out'
  | 'no-gang-in-part'
  | 'at-most-once'
  | 'no-overlapping-attempts'
  | 'true-not-run'
  /** As `true-not-run`, for a caller that submits again after an unknown outcome. */
  | 'true-not-run-when-repeated'
  | 'true-outcome'
  | 'every-request-ends'
  | 'versions-never-fall'
  | 'same-state'
  | 'no-work-on-leaving-target'
  | 'reclaim';

/** Violation of a promise. */
export interface Violation {
  promise: PromiseName;
  detail: string;
}

/** Interval at which the cluster is checked; messages to targets take no time unless a fault delays them. */
const STEP_MS: Milliseconds = 50;

/**
 * Longest time after a take-out within which a task may still start: the
 * configuration counts as fresh, and then the reservation is still valid.
 */
export const TAKE_OUT_BOUND_MS =
  FRESHNESS_BOUND_MS + RESERVATION_TTL_MS + STEP_MS;

/** Longest time for which only a part of a gang may run. */
export const PARTIAL_RUN_BOUND_MS =
  computeLongestPartialRunMs({
    leaseMs: LEASE_MS,
    renewMs: RENEW_MS,
    callTimeoutMs: CALL_TIMEOUT_MS,
  }) + STEP_MS;

/** Checks promises, some of them against the state seen by earlier checks. */
export class PromiseChecker {
  /** Latest entity versions by instance and entity. */
  private readonly versions = new Map<string, number>();
  /** State hashes by offset. */
  private readonly hashes = new Map<number, string>();
  /** Offsets of the latest compared state, by instance. */
  private readonly offsets = new Map<string, number>();

  /** Checks the promises that must hold at any time. */
  check(cluster: SimulatedCluster): Violation[] {
    return [
      ...checkRuns(cluster),
      ...checkReportedOutcomes(cluster),
      ...this.checkVersions(cluster),
      ...this.checkStates(cluster),
    ];
  }

  /** Checks that the entity versions that an instance serves never decrease. */
  private checkVersions(cluster: SimulatedCluster): Violation[] {
    const violations: Violation[] = [];
    for (const instance of cluster.instances.values()) {
      if (!instance.isServing) {
        continue;
      }
      for (const id of ['domain/d1', 'domain/d2', 'workspace/escorts']) {
        const key = `${instance.name} ${id}`;
        const version = instance.state.getEntityVersion(id);
        const previous = this.versions.get(key) ?? 0;
        if (version < previous) {
          const detail = `${key} decreased from ${previous} to ${version}`;
          violations.push({promise: 'versions-never-fall', detail});
        }
        this.versions.set(key, version);
      }
    }
    return violations;
  }

  /** Checks that instances at the same offset have the same state. */
  private checkStates(cluster: SimulatedCluster): Violation[] {
    const violations: Violation[] = [];
    for (const {name, state} of cluster.instances.values()) {
      if (this.offsets.get(name) === state.nextOffset) {
        continue;
      }
      this.offsets.set(name, state.nextOffset);
      const hash = hashValue([
        ...state.listUnfinishedJobs('d1'),
        ...state.listUnfinishedJobs('d2'),
      ]);
      const expected = this.hashes.get(state.nextOffset) ?? hash;
      this.hashes.set(state.nextOffset, expected);
      if (expected !== hash) {
        const detail = `${name} has a different state at offset ${state.nextOffset}`;
        violations.push({promise: 'same-state', detail});
      }
    }
    return violations;
  }
}

/** Checks that every request has ended; holds some time after all faults are cleared. */
export function checkTermination(cluster: SimulatedCluster): Violation[] {
  return [...cluster.history.requests.values()].flatMap(
    (observed): Violation[] => {
      const job = findJob(cluster, observed);
      const isOpen = job
        ? job.phase !== 'finished'
        : observed.reportedOutcome === 'accepted';
      const phase = job?.phase ?? 'unknown';
      const reason = job?.lastReason?.code ?? '';
      const detail = `${observed.request.requestId} is ${phase} ${reason}`;
      return isOpen ? [{promise: 'every-request-ends', detail}] : [];
    },
  );
}

/** Checks the promises about the runs on the targets. */
function checkRuns(cluster: SimulatedCluster): Violation[] {
  const events = cluster.audit.listEvents();
  const starts = events.filter(event => event.kind === 'started');
  return [
    ...starts.flatMap(start => checkOutOfService(cluster, start)),
    ...[...cluster.history.requests.values()].flatMap(observed =>
      checkJobRuns(cluster, observed, events),
    ),
  ];
}

/** Checks that no task started on a domain or target that was out of service or leaving. */
function checkOutOfService(
  cluster: SimulatedCluster,
  start: RunEvent,
): Violation[] {
  const domain = start.target.split('-')[0];
  return cluster.history.outOfServicePeriods.flatMap(
    ({entity, since, until}): Violation[] => {
      const isLate = (boundMs: Milliseconds) =>
        start.at > since + boundMs && start.at < until;
      const detail = `${start.jobId} started on ${start.target} at ${start.at}, ${start.at - since} ms after ${entity} went out of service`;
      if (entity === `domain/${domain}` && isLate(TAKE_OUT_BOUND_MS)) {
        return [{promise: 'no-start-after-take-out', detail}];
      }
      const isLeaving =
        (entity === `target/${start.target}` && isLate(TAKE_OUT_BOUND_MS)) ||
        (entity === `self/${start.target}` && isLate(STEP_MS));
      return isLeaving ? [{promise: 'no-work-on-leaving-target', detail}] : [];
    },
  );
}

/** Checks the runs of one job. */
function checkJobRuns(
  cluster: SimulatedCluster,
  observed: ObservedRequest,
  events: readonly RunEvent[],
): Violation[] {
  const job = findJob(cluster, observed);
  if (!job) {
    return [];
  }
  const jobEvents = events.filter(event => event.jobId === job.jobId);
  const members = countMembers(jobEvents, cluster, job);
  const violations: Violation[] = [];
  for (const [attempt, count] of members) {
    const key = {jobId: job.jobId, attempt};
    const now = cluster.clock.now();
    const partialRunMs = cluster.audit.measureLongestPartialRunMs(
      key,
      count,
      now,
    );
    if (partialRunMs > PARTIAL_RUN_BOUND_MS) {
      const detail = `${job.jobId}/${attempt} ran in part for ${partialRunMs} ms`;
      violations.push({promise: 'no-gang-in-part', detail});
    }
  }
  const hasRunTwice = members.size > 1 || hasRepeatedTask(jobEvents);
  if (!observed.request.repeatable && hasRunTwice) {
    const detail = `${job.jobId} ran in attempts ${[...members.keys()].join()}`;
    violations.push({promise: 'at-most-once', detail});
  }
  if (haveAttemptsOverlapped(jobEvents)) {
    const detail = `two attempts of ${job.jobId} ran at the same time`;
    violations.push({promise: 'no-overlapping-attempts', detail});
  }
  return violations;
}

/** Counts the members of each attempt of which any member has run. */
function countMembers(
  events: readonly RunEvent[],
  cluster: SimulatedCluster,
  job: Job,
): Map<number, number> {
  const counts = new Map<number, number>();
  for (const {attempt} of events) {
    counts.set(attempt, cluster.getMemberCount(job.jobId, attempt));
  }
  return counts;
}

/** Whether any member started more than once. */
function hasRepeatedTask(events: readonly RunEvent[]): boolean {
  const starts = events.filter(event => event.kind === 'started');
  return new Set(starts.map(event => event.firstTask)).size < starts.length;
}

/** Whether two attempts ran at the same time. */
function haveAttemptsOverlapped(events: readonly RunEvent[]): boolean {
  const running = new Map<number, number>();
  return events.some(({attempt, kind}) => {
    const change = kind === 'started' ? 1 : -1;
    running.set(attempt, (running.get(attempt) ?? 0) + change);
    return [...running.values()].filter(count => count > 0).length > 1;
  });
}

/** Checks the outcomes that were reported to callers against what has run. */
function checkReportedOutcomes(cluster: SimulatedCluster): Violation[] {
  return [...cluster.history.requests.values()].flatMap(
    (observed): Violation[] => {
      const {requestId} = observed.request;
      const job = findJob(cluster, observed);
      if (!job) {
        return [];
      }
      const hasRun = cluster.audit.findStartedAttempts(job.jobId).size > 0;
      const isReportedNotRun =
        observed.reportedOutcome === 'not-run' || job.outcome === 'not-run';
      if (isReportedNotRun && hasRun) {
        const detail = `${requestId} was reported as not run, but has run`;
        const promise = observed.wasUnknown
          ? 'true-not-run-when-repeated'
          : 'true-not-run';
        return [{promise, detail}];
      }
      const problem = job.outcome && findFalseOutcome(cluster, observed, job);
      const detail = `${requestId}: ${problem}`;
      return problem ? [{promise: 'true-outcome', detail}] : [];
    },
  );
}

/** Returns what contradicts the job's outcome, if anything. */
function findFalseOutcome(
  cluster: SimulatedCluster,
  observed: ObservedRequest,
  job: Job,
): string | undefined {
  const {request} = observed;
  switch (job.outcome) {
    case 'succeeded': {
      const expected = Array.from({length: request.gang.tasks}, (_, i) => i);
      const results = job.results ?? expected;
      const isComplete = hashValue(results) === hashValue(expected);
      return isComplete ? undefined : `results ${JSON.stringify(results)}`;
    }
    case 'failed':
      return request.payload.fail || cluster.history.hadFailingTargets
        ? undefined
        : 'it failed, but neither its payload nor a target made it fail';
    case 'cancelled':
      return observed.isCancelled
        ? undefined
        : 'it was cancelled without a request to cancel it';
    case 'lost':
      return request.repeatable
        ? 'it is lost although it may be repeated'
        : undefined;
    default:
      return undefined;
  }
}

function findJob(
  cluster: SimulatedCluster,
  observed: ObservedRequest,
): Job | undefined {
  return cluster.observer.getJobByRequest(observed.request.requestId);
}

/** Time within which a guaranteed job must have started although others use its cells. */
export const RECLAIM_BOUND_MS: Milliseconds = 15_000;

/** Whether any task of the job has started by `now`. */
export function hasStarted(
  cluster: SimulatedCluster,
  jobId: string,
  now: Instant,
): boolean {
  return cluster.audit
    .listEvents()
    .some(event => event.jobId === jobId && event.at <= now);
}
