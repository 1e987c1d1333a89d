/** The promises of the system, as checks over what an exploration noted. */
import type {Job} from '@galenavalve/ledger';
import {type Instant, type Milliseconds, hashValue} from '@galenavalve/shared';
import {type RunEvent, computeLongestPartialRunMs} from '@galenavalve/targets';
import type {ObservedRequest} from './exploration_history.js';
import {FRESHNESS_BOUND_MS, RESERVATION_TTL_MS} from './guards.js';
import {CALL_TIMEOUT_MS, LEASE_MS, RENEW_MS} from './instance.js';
import type {SimulatedCluster} from './simulated_cluster.js';

/** What can be broken. */
export type PromiseName =
  | 'no-start-after-take-out'
  | 'no-gang-in-part'
  | 'at-most-once'
  | 'no-overlapping-attempts'
  | 'true-not-run'
  /** The same, said to a caller who asks again after an answer that left it open. */
  | 'true-not-run-when-repeated'
  | 'true-outcome'
  | 'every-request-ends'
  | 'versions-never-fall'
  | 'same-state'
  | 'no-work-on-leaving-target'
  | 'reclaim';

/** One broken promise. */
export interface Violation {
  promise: PromiseName;
  detail: string;
}

/** Messages to targets take no time here, but the world is looked at every 50 ms. */
const STEP_MS: Milliseconds = 50;

/** How long after a take-out a task may still start: a fresh configuration, then a reservation that lives. */
export const TAKE_OUT_BOUND_MS =
  FRESHNESS_BOUND_MS + RESERVATION_TTL_MS + STEP_MS;

/** How long a part of a gang may run. */
export const PARTIAL_RUN_BOUND_MS =
  computeLongestPartialRunMs({
    leaseMs: LEASE_MS,
    renewMs: RENEW_MS,
    callTimeoutMs: CALL_TIMEOUT_MS,
  }) + STEP_MS;

/** Remembers what must not change between two checks. */
export class PromiseChecker {
  private readonly versions = new Map<string, number>();
  private readonly hashes = new Map<number, string>();
  private readonly offsets = new Map<string, number>();

  /** Checks all that must hold at any moment. */
  check(world: SimulatedCluster): Violation[] {
    return [
      ...checkRuns(world),
      ...checkAnswers(world),
      ...this.checkVersions(world),
      ...this.checkStates(world),
    ];
  }

  private checkVersions(world: SimulatedCluster): Violation[] {
    const found: Violation[] = [];
    for (const instance of world.instances.values()) {
      if (!instance.isServing) {
        continue;
      }
      for (const id of ['domain/d1', 'domain/d2', 'workspace/escorts']) {
        const key = `${instance.name} ${id}`;
        const version = instance.state.getEntityVersion(id);
        const before = this.versions.get(key) ?? 0;
        if (version < before) {
          const detail = `${key} fell from ${before} to ${version}`;
          found.push({promise: 'versions-never-fall', detail});
        }
        this.versions.set(key, version);
      }
    }
    return found;
  }

  /** Instances at the same offset have the same state. */
  private checkStates(world: SimulatedCluster): Violation[] {
    const found: Violation[] = [];
    for (const {name, state} of world.instances.values()) {
      if (this.offsets.get(name) === state.nextOffset) {
        continue;
      }
      this.offsets.set(name, state.nextOffset);
      const hash = hashValue([
        ...state.listUnfinishedJobs('d1'),
        ...state.listUnfinishedJobs('d2'),
      ]);
      const other = this.hashes.get(state.nextOffset) ?? hash;
      this.hashes.set(state.nextOffset, other);
      if (other !== hash) {
        const detail = `${name} differs at offset ${state.nextOffset}`;
        found.push({promise: 'same-state', detail});
      }
    }
    return found;
  }
}

/** Checks what must hold once all faults are over and time has passed. */
export function checkTermination(world: SimulatedCluster): Violation[] {
  return [...world.history.requests.values()].flatMap((fact): Violation[] => {
    const job = findJob(world, fact);
    const isOpen = job
      ? job.phase !== 'finished'
      : fact.reportedOutcome === 'accepted';
    const phase = job?.phase ?? 'unknown';
    const reason = job?.lastReason?.code ?? '';
    const detail = `${fact.request.requestId} is ${phase} ${reason}`;
    return isOpen ? [{promise: 'every-request-ends', detail}] : [];
  });
}

function checkRuns(world: SimulatedCluster): Violation[] {
  const events = world.audit.listEvents();
  const starts = events.filter(event => event.kind === 'started');
  return [
    ...starts.flatMap(start => checkService(world, start)),
    ...[...world.history.requests.values()].flatMap(fact =>
      checkJobRuns(world, fact, events),
    ),
  ];
}

/** No start on what is out of service or leaving. */
function checkService(world: SimulatedCluster, start: RunEvent): Violation[] {
  const domain = start.target.split('-')[0];
  return world.history.outOfServicePeriods.flatMap(
    ({entity, since, until}): Violation[] => {
      const isLate = (bound: Milliseconds) =>
        start.at > since + bound && start.at < until;
      const detail = `${start.jobId} started on ${start.target} at ${start.at}, ${start.at - since} ms after ${entity} went out`;
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

function checkJobRuns(
  world: SimulatedCluster,
  fact: ObservedRequest,
  events: readonly RunEvent[],
): Violation[] {
  const job = findJob(world, fact);
  if (!job) {
    return [];
  }
  const own = events.filter(event => event.jobId === job.jobId);
  const members = memberCounts(own, world, job);
  const found: Violation[] = [];
  for (const [attempt, count] of members) {
    const key = {jobId: job.jobId, attempt};
    const now = world.clock.now();
    const partial = world.audit.measureLongestPartialRunMs(key, count, now);
    if (partial > PARTIAL_RUN_BOUND_MS) {
      const detail = `${job.jobId}/${attempt} ran in part for ${partial} ms`;
      found.push({promise: 'no-gang-in-part', detail});
    }
  }
  const isTwice = members.size > 1 || hasRepeatedTask(own);
  if (!fact.request.repeatable && isTwice) {
    const detail = `${job.jobId} ran in attempts ${[...members.keys()].join()}`;
    found.push({promise: 'at-most-once', detail});
  }
  if (haveAttemptsOverlapped(own)) {
    const detail = `${job.jobId} ran twice at once`;
    found.push({promise: 'no-overlapping-attempts', detail});
  }
  return found;
}

/** Number of members of each attempt that has run in any part. */
function memberCounts(
  events: readonly RunEvent[],
  world: SimulatedCluster,
  job: Job,
): Map<number, number> {
  const counts = new Map<number, number>();
  for (const {attempt} of events) {
    counts.set(attempt, world.getMemberCount(job.jobId, attempt));
  }
  return counts;
}

function hasRepeatedTask(events: readonly RunEvent[]): boolean {
  const starts = events.filter(event => event.kind === 'started');
  return new Set(starts.map(event => event.firstTask)).size < starts.length;
}

function haveAttemptsOverlapped(events: readonly RunEvent[]): boolean {
  const running = new Map<number, number>();
  return events.some(({attempt, kind}) => {
    const change = kind === 'started' ? 1 : -1;
    running.set(attempt, (running.get(attempt) ?? 0) + change);
    return [...running.values()].filter(count => count > 0).length > 1;
  });
}

function checkAnswers(world: SimulatedCluster): Violation[] {
  return [...world.history.requests.values()].flatMap((fact): Violation[] => {
    const {requestId} = fact.request;
    const job = findJob(world, fact);
    if (!job) {
      return [];
    }
    const hasRun = world.audit.findStartedAttempts(job.jobId).size > 0;
    const isSaidNotRun =
      fact.reportedOutcome === 'not-run' || job.outcome === 'not-run';
    if (isSaidNotRun && hasRun) {
      const detail = `${requestId} was said not to have run`;
      const promise = fact.wasUnknown
        ? 'true-not-run-when-repeated'
        : 'true-not-run';
      return [{promise, detail}];
    }
    const problem = job.outcome && findFalseOutcome(world, fact, job);
    const detail = `${requestId}: ${problem}`;
    return problem ? [{promise: 'true-outcome', detail}] : [];
  });
}

function findFalseOutcome(
  world: SimulatedCluster,
  fact: ObservedRequest,
  job: Job,
): string | undefined {
  const {request} = fact;
  switch (job.outcome) {
    case 'succeeded': {
      const whole = Array.from({length: request.gang.tasks}, (_, i) => i);
      const results = job.results ?? whole;
      const isWhole = hashValue(results) === hashValue(whole);
      return isWhole ? undefined : `results ${JSON.stringify(results)}`;
    }
    case 'failed':
      return request.payload.fail || world.history.hadFailingTargets
        ? undefined
        : 'it failed although nothing failed it';
    case 'cancelled':
      return fact.isCancelled ? undefined : 'nobody cancelled it';
    case 'lost':
      return request.repeatable ? 'it could have been repeated' : undefined;
    default:
      return undefined;
  }
}

function findJob(
  world: SimulatedCluster,
  fact: ObservedRequest,
): Job | undefined {
  return world.observer.getJobByRequest(fact.request.requestId);
}

/** Time until a guaranteed job must have started although others use its cells. */
export const RECLAIM_BOUND_MS: Milliseconds = 15_000;

/** Whether the job has begun to run by `now`. */
export function hasStarted(
  world: SimulatedCluster,
  jobId: string,
  now: Instant,
): boolean {
  return world.audit
    .listEvents()
    .some(event => event.jobId === jobId && event.at <= now);
}
