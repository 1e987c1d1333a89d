/**
 * Runs one exploration: a simulated cluster, pseudorandom incidents chosen by a
 * seed, and a check of every promise after each step.
 */
import {
  type Milliseconds,
  SeededRandom,
  nextInteger,
} from '@galenavalve/shared';
import {ALL_GUARDS, type Guards} from './guards.js';
import {applyRandomIncident} from './incidents.js';
import {
  PromiseChecker,
  RECLAIM_BOUND_MS,
  type Violation,
  checkTermination,
  hasStarted,
} from './promises.js';
import {
  TARGETS_PER_DOMAIN,
  SimulatedCluster,
  createRequest,
} from './simulated_cluster.js';

/** Number of incidents of one exploration. */
const INCIDENT_COUNT = 60;

/** Upper bound of the random part of the time between two incidents. */
const MAX_GAP_MS: Milliseconds = 900;

/** Time within which every request must end once all faults are cleared. */
const SETTLE_MS: Milliseconds = 500_000;

/** Result of one exploration. */
export interface ExplorationResult {
  seed: number;
  /** Violations found by the first failing check; empty when every promise held. */
  violations: Violation[];
  /** Incidents in their order, each preceded by its virtual time in milliseconds. */
  trace: string[];
}

/** Explores one seed, with some safeguards changed; stops at the first check that finds a violation. */
export async function explore(
  seed: number,
  changes: Partial<Guards> = {},
): Promise<ExplorationResult> {
  const random = new SeededRandom(seed);
  const cluster = new SimulatedCluster(seed, {...ALL_GUARDS, ...changes});
  const checker = new PromiseChecker();
  const trace: string[] = [];
  const startedAt = cluster.clock.now();
  await cluster.advance(3000);
  for (let step = 0; step < INCIDENT_COUNT; step++) {
    const incident = applyRandomIncident(cluster, random, step);
    trace.push(`${cluster.clock.now() - startedAt} ${incident}`);
    await cluster.advance(50 + nextInteger(random, MAX_GAP_MS));
    const violations = checker.check(cluster);
    if (violations.length > 0) {
      return {seed, violations, trace};
    }
  }
  cluster.clearFaults();
  trace.push(`${cluster.clock.now() - startedAt} all faults cleared`);
  const violations = await settle(cluster, checker);
  return {seed, violations, trace};
}

/** Waits until every request has ended, then checks that guaranteed capacity can still be reclaimed. */
async function settle(
  cluster: SimulatedCluster,
  checker: PromiseChecker,
): Promise<Violation[]> {
  for (let elapsedMs = 0; elapsedMs < SETTLE_MS; elapsedMs += 5000) {
    await cluster.advance(5000);
    const violations = checker.check(cluster);
    if (violations.length > 0) {
      return violations;
    }
    if (checkTermination(cluster).length === 0) {
      return checkReclaim(cluster);
    }
  }
  return checkTermination(cluster);
}

/**
 * Checks that a workspace gets its guaranteed cell within `RECLAIM_BOUND_MS`
 * after another workspace has filled the domain.
 */
export async function checkReclaim(
  cluster: SimulatedCluster,
): Promise<Violation[]> {
  const [entry] = cluster.listServingInstances();
  if (entry === undefined) {
    return [];
  }
  const payload = {durationMs: 600_000};
  for (let i = 0; i < 2 * TARGETS_PER_DOMAIN; i++) {
    const filler = createRequest(`filler${i}`, cluster.clock.wallTime(), {
      checkpointable: true,
      payload,
    });
    void cluster.submit(filler, [entry]);
    await cluster.advance(1000);
  }
  await cluster.advance(5000);
  const request = createRequest('reclaim', cluster.clock.wallTime(), {
    workspace: 'escorts',
    payload,
  });
  void cluster.submit(request, [entry]);
  await cluster.advance(RECLAIM_BOUND_MS);
  const job = cluster.observer.getJobByRequest('reclaim');
  const isStarted =
    job !== undefined && hasStarted(cluster, job.jobId, cluster.clock.now());
  const detail = `after ${RECLAIM_BOUND_MS} ms the job is ${job?.phase}, ${job?.lastReason?.code}`;
  return isStarted ? [] : [{promise: 'reclaim', detail}];
}
