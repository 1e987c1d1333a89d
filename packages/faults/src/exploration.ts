/** One exploration: a world, incidents by a seed, and all promises after each step. */
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

/** Incidents of one exploration. */
const STEPS = 60;

/** Longest time between two incidents. */
const MAX_GAP_MS: Milliseconds = 900;

/** Time for everything to end after the last fault. */
const SETTLE_MS: Milliseconds = 500_000;

/** What an exploration found. */
export interface ExplorationResult {
  seed: number;
  /** The first broken promises; empty when all held. */
  violations: Violation[];
  /** What happened, with its time in milliseconds. */
  trace: string[];
}

/** Explores one seed. Stops at the first broken promise. */
export async function explore(
  seed: number,
  changes: Partial<Guards> = {},
): Promise<ExplorationResult> {
  const random = new SeededRandom(seed);
  const world = new SimulatedCluster(seed, {...ALL_GUARDS, ...changes});
  const book = new PromiseChecker();
  const story: string[] = [];
  const startedAt = world.clock.now();
  await world.advance(3000);
  for (let step = 0; step < STEPS; step++) {
    const what = applyRandomIncident(world, random, step);
    story.push(`${world.clock.now() - startedAt} ${what}`);
    await world.advance(50 + nextInteger(random, MAX_GAP_MS));
    const violations = book.check(world);
    if (violations.length > 0) {
      return {seed, violations, trace: story};
    }
  }
  world.clearFaults();
  story.push(`${world.clock.now() - startedAt} all faults are over`);
  const violations = await settle(world, book);
  return {seed, violations, trace: story};
}

/** Lets all work end, then checks that a promise can still be reclaimed. */
async function settle(
  world: SimulatedCluster,
  book: PromiseChecker,
): Promise<Violation[]> {
  for (let passed = 0; passed < SETTLE_MS; passed += 5000) {
    await world.advance(5000);
    const violations = book.check(world);
    if (violations.length > 0) {
      return violations;
    }
    if (checkTermination(world).length === 0) {
      return checkReclaim(world);
    }
  }
  return checkTermination(world);
}

/** Others fill the domain, then the workspace asks for what it is promised. */
export async function checkReclaim(
  world: SimulatedCluster,
): Promise<Violation[]> {
  const [entry] = world.listServingInstances();
  if (entry === undefined) {
    return [];
  }
  const payload = {durationMs: 600_000};
  for (let i = 0; i < 2 * TARGETS_PER_DOMAIN; i++) {
    const filler = createRequest(`filler${i}`, world.clock.wallTime(), {
      checkpointable: true,
      payload,
    });
    void world.submit(filler, [entry]);
    await world.advance(1000);
  }
  await world.advance(5000);
  const request = createRequest('reclaim', world.clock.wallTime(), {
    workspace: 'escorts',
    payload,
  });
  void world.submit(request, [entry]);
  await world.advance(RECLAIM_BOUND_MS);
  const job = world.observer.getJobByRequest('reclaim');
  const isStarted =
    job !== undefined && hasStarted(world, job.jobId, world.clock.now());
  const detail = `after ${RECLAIM_BOUND_MS} ms it is ${job?.phase}, ${job?.lastReason?.code}`;
  return isStarted ? [] : [{promise: 'reclaim', detail}];
}
