/** Fixtures: schedulers over a log and targets in memory, on a clock that only the spec moves. */
import {
  LedgerState,
  LogFollower,
  LogWriter,
  MemoryLog,
} from '@galenavalve/ledger';
import {
  type JobRequest,
  type RecordBody,
  createReason,
  entity,
  jobRequest,
  getEntityKey,
} from '@galenavalve/model';
import {GuaranteePolicy} from '@galenavalve/placement';
import {
  ManualClock,
  type Milliseconds,
  SeededRandom,
  SilentLogger,
  hashValue,
} from '@galenavalve/shared';
import {
  GangStarter,
  LeaseRenewer,
  MemoryTargets,
  type RunEvent,
  TargetFencer,
  TargetHealth,
} from '@galenavalve/targets';
import {CellsProjection, Scheduler} from '../src/index.js';

export const LEASE_MS: Milliseconds = 6_000;
const CALL_TIMEOUT_MS: Milliseconds = 500;
const FRESH_MS: Milliseconds = 2_000;
const ACCELERATORS = 8;
const CAPACITY = {
  slots: 8,
  accelerators: ACCELERATORS,
  processors: 64,
  memoryMb: 131_072,
};

/** One instance that can schedule domain "d1". */
export type Instance = ReturnType<typeof createInstance>;

/** The world of one spec. */
export type TestCluster = ReturnType<typeof createTestCluster>;

export function createTestCluster(targetCount = 2) {
  const clock = new ManualClock(1_000_000);
  const log = new MemoryLog(clock, {appendLatency: 5});
  const targets = new MemoryTargets(clock);
  const runs: RunEvent[] = [];
  for (let index = 1; index <= targetCount; index++) {
    const id = `t${index}`;
    targets.add({id, capacity: CAPACITY, onRun: event => runs.push(event)});
  }
  const world = {clock, log, targets, runs};
  appendDirectly(world, {
    type: 'configured',
    change: {
      changeId: 'first',
      author: 'spec',
      edits: createEntities(targetCount).map(value => ({
        entity: getEntityKey(value),
        baseVersion: 0,
        value,
      })),
    },
  });
  return world;
}

export function createInstance(world: TestCluster, name: string) {
  const {clock, log, targets} = world;
  const random = new SeededRandom(7);
  const logger = new SilentLogger();
  const state = new LedgerState();
  const follower = new LogFollower({log, state, clock, logger, random});
  const writer = new LogWriter({
    log,
    follower,
    clock,
    random,
    logger,
    instance: name,
    options: {appendsPerSecond: 1000},
  });
  const policy = new GuaranteePolicy();
  const mirror = new CellsProjection('d1', state, policy);
  const client = targets.createClient(name);
  const parts = {client, findAddress: targets.findAddress, clock, logger};
  const scheduler = new Scheduler({
    domain: 'd1',
    state,
    writer,
    policy,
    projection: mirror,
    clock,
    random,
    logger,
    client,
    findAddress: targets.findAddress,
    starter: new GangStarter({
      ...parts,
      options: {callTimeoutMs: CALL_TIMEOUT_MS, leaseMs: LEASE_MS},
    }),
    leaseRenewer: new LeaseRenewer({
      ...parts,
      options: {
        callTimeoutMs: CALL_TIMEOUT_MS,
        leaseMs: LEASE_MS,
        renewMs: 1_000,
      },
    }),
    targetFencer: new TargetFencer({
      ...parts,
      options: {callTimeoutMs: CALL_TIMEOUT_MS},
    }),
    health: new TargetHealth(() => state.configuration.rules),
    findStartBlocker: now => {
      const freshAt = follower.getFreshAt() ?? -Infinity;
      return now - freshAt > FRESH_MS
        ? createReason('waiting-stale')
        : undefined;
    },
    chooseMove: () => undefined,
  });
  follower.onApplied(applied => {
    mirror.onApplied(applied);
    scheduler.onApplied(applied);
  });
  const abort = new AbortController();
  void follower.run(abort.signal);
  void writer.run(abort.signal);
  void scheduler.renewLeases(abort.signal);
  /** Ends the instance as a kill would. */
  const kill = () => {
    scheduler.deactivate('killed');
    abort.abort();
  };
  return {name, state, follower, writer, scheduler, kill};
}

/** Lets `instance` claim the domain under the next term. */
export async function claim(
  world: TestCluster,
  instance: Instance,
): Promise<void> {
  await world.clock.advance(500);
  const term = {
    log: (instance.state.getSchedulerTerm('d1')?.log ?? 0) + 1,
    outage: 0,
    instance: instance.name,
  };
  appendDirectly(world, {type: 'claimed', domain: 'd1', term});
  await world.clock.advance(500);
  instance.scheduler.activate(term);
}

let recordCount = 0;

/** Appends as another instance would. */
export function appendDirectly(
  {log, clock}: Pick<TestCluster, 'log' | 'clock'>,
  body: RecordBody,
): void {
  log.write({
    v: 1,
    recordId: `spec-${recordCount++}`,
    at: Math.round(clock.wallTime()),
    by: 'spec',
    ...body,
  });
}

/** Submits a job; returns its id. */
export function submit(
  world: TestCluster,
  requestId: string,
  changes: Partial<JobRequest> = {},
): string {
  const request = jobRequest.parse({
    requestId,
    workspace: 'escorts',
    gang: {tasks: 2, perTask: {accelerators: 8}},
    expectedSeconds: 5,
    createdAt: Math.round(world.clock.wallTime()),
    payload: {durationMs: 5_000, output: requestId},
    ...changes,
  });
  const jobId = `job-${requestId}`;
  appendDirectly(world, {
    type: 'submitted',
    jobId,
    request,
    bodyHash: hashValue(request),
    domain: 'd1',
    reason: createReason('routed-only', {domain: 'd1'}),
  });
  return jobId;
}

/** Moves time until `isDone`, at most `limit`; returns whether it was done. */
export async function advanceUntil(
  world: TestCluster,
  isDone: () => boolean,
  limit: Milliseconds = 60_000,
): Promise<boolean> {
  for (let waited = 0; waited < limit && !isDone(); waited += 50) {
    await world.clock.advance(50);
    world.targets.advance();
  }
  return isDone();
}

/** Changes the domain's state as an operator would. */
export function setDomainState(
  world: TestCluster,
  baseVersion: number,
  state: 'in-service' | 'out',
): void {
  appendDirectly(world, {
    type: 'configured',
    change: {
      changeId: `domain-${state}-${baseVersion}`,
      author: 'operator',
      edits: [
        {
          entity: 'domain/d1',
          baseVersion,
          value: {kind: 'domain', id: 'd1', region: 'r1', state},
        },
      ],
    },
  });
}

function createEntities(targetCount: number) {
  const targets = Array.from({length: targetCount}, (_, index) => ({
    kind: 'target',
    id: `t${index + 1}`,
    domain: 'd1',
    rack: 'rack1',
    endpoint: `http://127.0.0.1:1/targets/t${index + 1}`,
    ...CAPACITY,
  }));
  const values = [
    {kind: 'domain', id: 'd1', region: 'r1'},
    {kind: 'workspace', id: 'escorts'},
    ...targets,
  ];
  return values.map(value => entity.parse(value));
}
