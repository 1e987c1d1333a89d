/** Creates records, states and instances for the specs. */
import {
  type Entity,
  type JobRequest,
  type LogRecord,
  type RecordBody,
  type Term,
  createReason,
  entity,
  jobRequest,
  getEntityKey,
} from '@galenavalve/model';
import {
  ManualClock,
  SeededRandom,
  SilentLogger,
  hashValue,
} from '@galenavalve/shared';
import {
  type FoldResult,
  type LogFollowerOptions,
  type LedgerOptions,
  type LogFaults,
  type LogWriterOptions,
  LedgerState,
  LogFollower,
  LogWriter,
  MemoryLog,
  applyEntry,
} from '../src/index.js';

export const START_TIME_MS = 1_700_000_000_000;
export const TERM: Term = {log: 1, outage: 0, instance: 'i1'};
export const REASON = createReason('routed-only', {domain: 'd1'});

let sequence = 0;

export function createRequest(fields: Partial<JobRequest> = {}): JobRequest {
  return jobRequest.parse({
    requestId: 'r1',
    workspace: 'ws1',
    gang: {tasks: 2, perTask: {accelerators: 1}},
    expectedSeconds: 60,
    createdAt: START_TIME_MS,
    ...fields,
  });
}

/** Creates entities of two failure domains with two targets each, and a workspace. */
export function createEntities(): Entity[] {
  const domains = ['d1', 'd2'].map(id => ({kind: 'domain', id, region: 'r'}));
  const targets = ['t1', 't2', 't3', 't4'].map((id, i) => ({
    kind: 'target',
    id,
    domain: i < 2 ? 'd1' : 'd2',
    rack: `k${i}`,
    endpoint: `http://127.0.0.1:${9000 + i}`,
    accelerators: 8,
    processors: 32,
    memoryMb: 65_536,
    slots: 8,
  }));
  const workspace = {kind: 'workspace', id: 'ws1', queueLimit: 50};
  return [...domains, ...targets, workspace].map(value => entity.parse(value));
}

export function configure(
  values: readonly Entity[],
  baseVersion = 0,
  changeId = `c${(sequence += 1)}`,
): RecordBody {
  const edits = values.map(value => ({
    entity: getEntityKey(value),
    baseVersion,
    value,
  }));
  return {type: 'configured', change: {changeId, author: 'op', edits}};
}

export function submit(
  jobId = 'j1',
  fields: Partial<JobRequest> = {},
): RecordBody {
  const request = createRequest({requestId: `r-${jobId}`, ...fields});
  return {
    type: 'submitted',
    jobId,
    request,
    bodyHash: hashValue(request),
    domain: 'd1',
    reason: REASON,
  };
}

export function createAttemptFields(jobId = 'j1', attempt = 1, term = TERM) {
  return {jobId, attempt, domain: 'd1', term};
}

export function place(jobId = 'j1', attempt = 1, term = TERM): RecordBody {
  return {
    type: 'placed',
    ...createAttemptFields(jobId, attempt, term),
    assignments: [{target: 't1', firstTask: 0, tasks: 2, accelerators: 3}],
    guaranteed: true,
    reason: createReason('placed-guaranteed'),
  };
}

export function start(jobId = 'j1', attempt = 1, term = TERM): RecordBody {
  return {type: 'started', ...createAttemptFields(jobId, attempt, term)};
}

export function unplace(
  mayHaveRun: boolean,
  jobId = 'j1',
  attempt = 1,
  term = TERM,
): RecordBody {
  return {
    type: 'unplaced',
    ...createAttemptFields(jobId, attempt, term),
    mayHaveRun,
    progressSeconds: 0,
    reason: createReason('preempted-reclaim'),
  };
}

export function finish(
  outcome: 'succeeded' | 'failed' | 'cancelled' | 'not-run',
  jobId = 'j1',
  attempt = 1,
  term = TERM,
): RecordBody {
  const results = outcome === 'succeeded' ? ['a', {b: 1}] : [];
  return {
    type: 'finished',
    ...createAttemptFields(jobId, attempt, term),
    outcome,
    results,
    resultHash: hashValue(results),
    ranSeconds: 1,
    reason: createReason('finished', {tasks: 2}),
  };
}

export function cancel(jobId = 'j1'): RecordBody {
  return {
    type: 'cancelled',
    jobId,
    reason: createReason('cancelled', {by: 'op'}),
  };
}

export function claim(term = TERM, domain = 'd1'): RecordBody {
  return {type: 'claimed', domain, term};
}

export function createRecord(
  body: RecordBody,
  header: {at?: number; by?: string; recordId?: string} = {},
): LogRecord {
  sequence += 1;
  return {
    v: 1,
    recordId: `rec${sequence}`,
    at: START_TIME_MS,
    by: 'i1',
    ...header,
    ...body,
  };
}

/** Folds a record into a state at its next offset. */
export function fold(
  state: LedgerState,
  body: RecordBody | LogRecord,
  header: {at?: number; by?: string} = {},
): FoldResult {
  const value = 'recordId' in body ? body : createRecord(body, header);
  return applyEntry(state, {
    offset: state.nextOffset,
    value: JSON.parse(JSON.stringify(value)) as unknown,
  });
}

/** Creates a state with the entities of `createEntities` and a scheduler of d1. */
export function createState(options: Partial<LedgerOptions> = {}): LedgerState {
  const state = new LedgerState(options);
  fold(state, configure(createEntities()));
  fold(state, claim());
  return state;
}

/** An instance that follows and appends to an in-memory log. */
export class TestInstance {
  readonly state = new LedgerState();
  readonly follower: LogFollower;
  readonly writer: LogWriter;
  private readonly controller = new AbortController();

  constructor(
    readonly clock: ManualClock,
    readonly log: MemoryLog,
    name = 'i1',
    options: Partial<LogFollowerOptions> & Partial<LogWriterOptions> = {},
  ) {
    const shared = {
      log,
      clock,
      logger: new SilentLogger(),
      random: new SeededRandom(name.length),
      options,
    };
    const {state} = this;
    this.follower = new LogFollower({...shared, state});
    const {follower} = this;
    this.writer = new LogWriter({...shared, follower, instance: name});
    void this.follower.run(this.controller.signal);
    void this.writer.run(this.controller.signal);
  }

  stop(): void {
    this.controller.abort();
  }
}

/**
 * Creates an instance on a log that contains the entities of `createEntities`
 * and a claim of d1.
 */
export async function createInstance(
  faults: Partial<LogFaults> = {},
  options: Partial<LogFollowerOptions> & Partial<LogWriterOptions> = {},
): Promise<TestInstance> {
  const clock = new ManualClock(START_TIME_MS);
  const log = new MemoryLog(clock, faults);
  log.write(createRecord(configure(createEntities())), createRecord(claim()));
  const instance = new TestInstance(clock, log, 'i1', options);
  await clock.advance(1000);
  return instance;
}
