/** Creates configurations, jobs and records of any size, with the proportions of the two-year size (see two_year_size.ts). */
import {type LogEntry, LedgerState, applyEntry} from '@galenavalve/ledger';
import {
  type Assignment,
  type Entity,
  type JobRequest,
  type LogRecord,
  type RecordBody,
  type Term,
  createReason,
  getEntityKey,
} from '@galenavalve/model';
import {hashValue} from '@galenavalve/shared';

/** Number of targets of one rack. */
const TARGETS_PER_RACK = 8;

/** Number of a gang's tasks that one target runs in these fixtures. */
export const TASKS_PER_ASSIGNMENT = 4;

const RECORD_TIME_MS = 1_800_000_000_000;
const DOMAIN_ID = 'north';
const INSTANCE_ID = 'entry-north-1';
const TERM: Term = {log: 1, outage: 0, instance: INSTANCE_ID};

/** Record by which an instance becomes the domain's scheduler. */
export const CLAIM_RECORD = {
  type: 'claimed',
  domain: DOMAIN_ID,
  term: TERM,
} as const satisfies RecordBody;

/** Creates two failure domains, of which the first holds all `targets` targets and the guarantees of `workspaces` workspaces. */
export function createEntities(targets: number, workspaces: number): Entity[] {
  const entities: Entity[] = [
    {kind: 'domain', id: DOMAIN_ID, region: 'eu', state: 'in-service'},
    {kind: 'domain', id: 'south', region: 'eu', state: 'in-service'},
  ];
  for (let index = 0; index < targets; index++) {
    entities.push(createTarget(index));
  }
  // The ledger rejects a guarantee that precedes the targets it needs.
  for (let index = 0; index < workspaces; index++) {
    entities.push({
      kind: 'workspace',
      id: `workspace-${index}`,
      weight: 1,
      guarantees: [{level: 'accelerator', count: 1, domain: DOMAIN_ID}],
      queueLimit: 1000,
      requiresApproval: false,
    });
  }
  return entities;
}

/** Creates one target; its memory is in MB. */
export function createTarget(index: number, memoryMb = 262_144): Entity {
  return {
    kind: 'target',
    id: formatTargetId(index),
    domain: DOMAIN_ID,
    rack: `rack-${Math.floor(index / TARGETS_PER_RACK)}`,
    endpoint: `http://10.0.${index >> 8}.${index & 255}:7100`,
    accelerators: 8,
    processors: 64,
    memoryMb,
    slots: 32,
    state: 'in-service',
  };
}

/** Creates the request of a gang of `tasks` tasks. */
export function createRequest(index: number, tasks: number): JobRequest {
  return {
    requestId: `request-2028-0000-${index}`,
    workspace: `workspace-${index % 4}`,
    gang: {
      tasks,
      perTask: {accelerators: 0, processors: 1, memoryMb: 4096},
      adjacency: 'domain',
    },
    expectedSeconds: 14_400,
    repeatable: true,
    urgent: false,
    checkpointable: true,
    kind: 'layout',
    createdAt: RECORD_TIME_MS,
    payload: {input: `store/inputs/${index}`, seed: index},
  };
}

/** Creates the assignments of a gang to consecutive targets, beginning with target number `first`. */
export function createAssignments(tasks: number, first: number): Assignment[] {
  const assignments: Assignment[] = [];
  for (let task = 0; task < tasks; task += TASKS_PER_ASSIGNMENT) {
    assignments.push({
      target: formatTargetId(first + assignments.length),
      firstTask: task,
      tasks: Math.min(TASKS_PER_ASSIGNMENT, tasks - task),
      accelerators: 0,
    });
  }
  return assignments;
}

/** Creates the four records of one job: submitted, placed, started, finished. */
export function createJobRecords(index: number, tasks: number): RecordBody[] {
  const request = createRequest(index, tasks);
  const jobId = `job-${index}`;
  const attempt = {jobId, attempt: 1, domain: DOMAIN_ID, term: TERM};
  const results = Array.from({length: tasks}, (_, task) => ({task, ok: true}));
  return [
    {
      type: 'submitted',
      jobId,
      request,
      bodyHash: hashValue(request),
      domain: DOMAIN_ID,
      reason: createReason('routed-capacity', {domain: DOMAIN_ID}),
    },
    {
      type: 'placed',
      ...attempt,
      assignments: createAssignments(tasks, index % 16),
      guaranteed: true,
      reason: createReason('placed-guaranteed', {
        targets: 'target-1 and others',
        workspace: request.workspace,
      }),
    },
    {type: 'started', ...attempt},
    {
      type: 'finished',
      ...attempt,
      outcome: 'succeeded',
      results,
      resultHash: hashValue(results),
      ranSeconds: 14_000,
      reason: createReason('finished', {tasks}),
    },
  ];
}

/** Creates the record that configures the given entities. */
export function createConfiguredRecord(
  entities: readonly Entity[],
  baseVersion: number,
  changeId = `change-${baseVersion}`,
): RecordBody {
  const edits = entities.map(value => ({
    entity: getEntityKey(value),
    baseVersion,
    value,
  }));
  return {
    type: 'configured',
    change: {changeId, author: 'operator', edits},
  };
}

/** Creates log entries with the given records, beginning at `offset`. */
export function createEntries(
  bodies: readonly RecordBody[],
  offset: number,
): LogEntry[] {
  return bodies.map((body, index) => {
    const record = {
      v: 1,
      recordId: `${INSTANCE_ID}-kd83jf0a-${offset + index}`,
      at: RECORD_TIME_MS,
      by: INSTANCE_ID,
      ...body,
    } as LogRecord;
    return {offset: offset + index, value: record};
  });
}

/** Counts the bytes of a record as JSON. */
export function countRecordBytes(body: RecordBody): number {
  const [entry] = createEntries([body], 1_000_000);
  return Buffer.byteLength(JSON.stringify(entry!.value));
}

/** Folds records into the state; throws when a record is rejected, because the measurement would be void. */
export function foldAll(
  state: LedgerState,
  bodies: readonly RecordBody[],
): void {
  foldSerializedEntries(state, serializeEntries(bodies, state.nextOffset));
}

/** Serializes log entries to JSON, as a reader of the log receives them. */
export function serializeEntries(
  bodies: readonly RecordBody[],
  offset: number,
): string[] {
  return createEntries(bodies, offset).map(entry => JSON.stringify(entry));
}

/** Parses and folds serialized entries; throws when one is rejected. */
export function foldSerializedEntries(
  state: LedgerState,
  texts: readonly string[],
): void {
  for (const text of texts) {
    const result = applyEntry(state, JSON.parse(text) as LogEntry);
    if (!result.accepted) {
      const {rejection, problem} = result;
      throw new Error(
        `the ledger rejected a record: ${rejection} ${problem?.message}`,
      );
    }
  }
}

/** Creates `records` records: one configuration, then submitted jobs. */
export function createLogBodies(records: number): RecordBody[] {
  const bodies = [createConfiguredRecord(createEntities(64, 4), 0, 'setup')];
  for (let index = 1; index < records; index++) {
    bodies.push(createJobRecords(index, TASKS_PER_ASSIGNMENT)[0]!);
  }
  return bodies;
}

/** Creates a state with a configured domain whose scheduler has been claimed. */
export function createState(targets: number, workspaces: number): LedgerState {
  const state = new LedgerState();
  foldAll(state, [
    createConfiguredRecord(createEntities(targets, workspaces), 0),
    CLAIM_RECORD,
  ]);
  return state;
}

function formatTargetId(index: number): string {
  return `target-${index}`;
}
