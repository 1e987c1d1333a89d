/** Fixtures: schedulers with an in-memory log and in-memory targets, on a manual clock. */
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
const FRESHNESS_MS: Milliseconds = 2_000;
const ACCELERATORS = 8;
const CAPACITY = {
  slots: 8,
  accelerators: ACCELERATORS,
  processors: 64,
  memoryMb: 131_072,
};

/** An instance that can schedule domain `d1`. */
export type Instance = ReturnType<typeof createInstance>;

/** The log, targets and clock of one spec, and all starts and ends of tasks. */
export type TestCluster = ReturnType<typeof createTestCluster>;

/** Creates a log and targets `t1`, `t2`, ..., and appends their configuration. */
export function createTestCluster(targetCount = 2) {
  const clock = new ManualClock(1_000_000);
  const log = new MemoryLog(clock, {appendLatency: 5});
  const targets = new MemoryTargets(clock);
  const runs: RunEvent[] = [];
  for (let index = 1; index <= targetCount; index++) {
    const id = `t${index}`;
    targets.add({id, capacity: CAPACITY, onRun: event => runs.push(event)});
  }
  const cluster = {clock, log, targets, runs};
  appendDirectly(cluster, {
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
  return cluster;
}

/** Creates an instance and starts reading the log; it schedules nothing before `claim`. */
export function createInstance(cluster: TestCluster, name: string) {
  const {clock, log, targets} = cluster;
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
  const projection = new CellsProjection('d1', state, policy);
  const client = targets.createClient(name);
  const dependencies = {
    client,
    findAddress: targets.findAddress,
    clock,
    logger,
  };
  const scheduler = new Scheduler({
    domain: 'd1',
    state,
    writer,
    policy,
    projection,
    clock,
    random,
    logger,
    client,
    findAddress: targets.findAddress,
    starter: new GangStarter({
      ...dependencies,
      options: {callTimeoutMs: CALL_TIMEOUT_MS, leaseMs: LEASE_MS},
    }),
    leaseRenewer: new LeaseRenewer({
      ...dependencies,
      options: {
        callTimeoutMs: CALL_TIMEOUT_MS,
        leaseMs: LEASE_MS,
        renewMs: 1_000,
      },
    }),
    targetFencer: new TargetFencer({
      ...dependencies,
      options: {callTimeoutMs: CALL_TIMEOUT_MS},
    }),
    health: new TargetHealth(() => state.configuration.rules),
    findStartBlocker: now => {
      const freshAt = follower.getFreshAt() ?? -Infinity;
      return now - freshAt > FRESHNESS_MS
        ? createReason('waiting-stale')
        : undefined;
    },
    chooseMove: () => undefined,
  });
  follower.onApplied(applied => {
    projection.onApplied(applied);
    scheduler.onApplied(applied);
  });
  const abort = new AbortController();
  void follower.run(abort.signal);
  void writer.run(abort.signal);
  void scheduler.renewLeases(abort.signal);
  /** Stops the instance without a planned stop, as when its process is killed. */
  const kill = () => {
    scheduler.deactivate('killed');
    abort.abort();
  };
  return {name, state, follower, writer, scheduler, kill};
}

/** Makes `instance` claim the domain under the next term. */
export async function claim(
  cluster: TestCluster,
  instance: Instance,
): Promise<void> {
  await cluster.clock.advance(500);
  const term = {
    log: (instance.state.getSchedulerTerm('d1')?.log ?? 0) + 1,
    outage: 0,
    instance: instance.name,
  };
  appendDirectly(cluster, {type: 'claimed', domain: 'd1', term});
  await cluster.clock.advance(500);
  instance.scheduler.activate(term);
}

let recordCount = 0;

/** Appends a record as another instance would. */
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
  cluster: TestCluster,
  requestId: string,
  changes: Partial<JobRequest> = {},
): string {
  const request = jobRequest.parse({
    requestId,
    workspace: 'escorts',
    gang: {tasks: 2, perTask: {accelerators: 8}},
    expectedSeconds: 5,
    createdAt: Math.round(cluster.clock.wallTime()),
    payload: {durationMs: 5_000, output: requestId},
    ...changes,
  });
  const jobId = `job-${requestId}`;
  appendDirectly(cluster, {
    type: 'submitted',
    jobId,
    request,
    bodyHash: hashValue(request),
    domain: 'd1',
    reason: createReason('routed-only', {domain: 'd1'}),
  });
  return jobId;
}

/** Advances the clock until `isDone` or for `limit` milliseconds; returns the final `isDone()`. */
export async function advanceUntil(
  cluster: TestCluster,
  isDone: () => boolean,
  limit: Milliseconds = 60_000,
): Promise<boolean> {
  for (let waited = 0; waited < limit && !isDone(); waited += 50) {
    await cluster.clock.advance(50);
    cluster.targets.advance();
  }
  return isDone();
}

/** Changes the state of domain `d1` as an operator would. */
export function setDomainState(
  cluster: TestCluster,
  baseVersion: number,
  state: 'in-service' | 'out',
): void {
  appendDirectly(cluster, {
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
