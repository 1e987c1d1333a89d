/** Configurations, jobs and records of any size, as the two-year target has them. */
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

/** Targets of one rack. */
const RACK_SIZE = 8;

/** Tasks that one target runs at once in these fixtures. */
export const TASKS_PER_ASSIGNMENT = 4;

const AT = 1_800_000_000_000;
const DOMAIN = 'north';
const INSTANCE = 'entry-north-1';
const TERM: Term = {log: 1, outage: 0, instance: INSTANCE};

/** The claim of the domain's scheduler. */
export const CLAIM_RECORD = {
  type: 'claimed',
  domain: DOMAIN,
  term: TERM,
} as const satisfies RecordBody;

/** The entities of two failure domains, one of them with `targets` targets and `workspaces` workspaces. */
export function createEntities(targets: number, workspaces: number): Entity[] {
  const entities: Entity[] = [
    {kind: 'domain', id: DOMAIN, region: 'eu', state: 'in-service'},
    {kind: 'domain', id: 'south', region: 'eu', state: 'in-service'},
  ];
  for (let index = 0; index < targets; index++) {
    entities.push(createTarget(index));
  }
  // Guarantees are refused before the targets that they need.
  for (let index = 0; index < workspaces; index++) {
    entities.push({
      kind: 'workspace',
      id: `workspace-${index}`,
      weight: 1,
      guarantees: [{level: 'accelerator', count: 1, domain: DOMAIN}],
      queueLimit: 1000,
      requiresApproval: false,
    });
  }
  return entities;
}

/** One target. */
export function createTarget(index: number, memoryMb = 262_144): Entity {
  return {
    kind: 'target',
    id: targetId(index),
    domain: DOMAIN,
    rack: `rack-${Math.floor(index / RACK_SIZE)}`,
    endpoint: `http://10.0.${index >> 8}.${index & 255}:7100`,
    accelerators: 8,
    processors: 64,
    memoryMb,
    slots: 32,
    state: 'in-service',
  };
}

/** The request of a gang of `tasks` tasks. */
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
    createdAt: AT,
    payload: {input: `store/inputs/${index}`, seed: index},
  };
}

/** The parts of a gang on consecutive targets, the first of which is `first`. */
export function createAssignments(tasks: number, first: number): Assignment[] {
  const assignments: Assignment[] = [];
  for (let task = 0; task < tasks; task += TASKS_PER_ASSIGNMENT) {
    assignments.push({
      target: targetId(first + assignments.length),
      firstTask: task,
      tasks: Math.min(TASKS_PER_ASSIGNMENT, tasks - task),
      accelerators: 0,
    });
  }
  return assignments;
}

/** The records of one job, from its request to its end. */
export function createJobRecords(index: number, tasks: number): RecordBody[] {
  const request = createRequest(index, tasks);
  const jobId = `job-${index}`;
  const attempt = {jobId, attempt: 1, domain: DOMAIN, term: TERM};
  const results = Array.from({length: tasks}, (_, task) => ({task, ok: true}));
  return [
    {
      type: 'submitted',
      jobId,
      request,
      bodyHash: hashValue(request),
      domain: DOMAIN,
      reason: createReason('routed-capacity', {domain: DOMAIN}),
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

/** The record that configures all entities, or changes some of them. */
export function createConfiguredRecord(
  entities: readonly Entity[],
  baseVersion: number,
  change = `change-${baseVersion}`,
): RecordBody {
  const edits = entities.map(value => ({
    entity: getEntityKey(value),
    baseVersion,
    value,
  }));
  return {
    type: 'configured',
    change: {changeId: change, author: 'operator', edits},
  };
}

/** Entries of the log that hold the bodies, from `offset` on. */
export function createEntries(
  bodies: readonly RecordBody[],
  offset: number,
): LogEntry[] {
  return bodies.map((body, index) => {
    const record = {
      v: 1,
      recordId: `${INSTANCE}-kd83jf0a-${offset + index}`,
      at: AT,
      by: INSTANCE,
      ...body,
    } as LogRecord;
    return {offset: offset + index, value: record};
  });
}

/** Bytes of a record as JSON. */
export function countRecordBytes(body: RecordBody): number {
  const [entry] = createEntries([body], 1_000_000);
  return Buffer.byteLength(JSON.stringify(entry!.value));
}

/** Folds bodies; throws when one is rejected, since then nothing would be measured. */
export function foldAll(
  state: LedgerState,
  bodies: readonly RecordBody[],
): void {
  foldSerializedEntries(state, serializeEntries(bodies, state.nextOffset));
}

/** Entries as a reader of the log receives them. */
export function serializeEntries(
  bodies: readonly RecordBody[],
  offset: number,
): string[] {
  return createEntries(bodies, offset).map(entry => JSON.stringify(entry));
}

/** Parses and folds entries. */
export function foldSerializedEntries(
  state: LedgerState,
  texts: readonly string[],
): void {
  for (const text of texts) {
    const applied = applyEntry(state, JSON.parse(text) as LogEntry);
    if (!applied.accepted) {
      const {rejection, problem} = applied;
      throw new Error(
        `a record was rejected: ${rejection} ${problem?.message}`,
      );
    }
  }
}

/** A configuration and waiting jobs: `records` records. */
export function createLogBodies(records: number): RecordBody[] {
  const bodies = [createConfiguredRecord(createEntities(64, 4), 0, 'setup')];
  for (let index = 1; index < records; index++) {
    bodies.push(createJobRecords(index, TASKS_PER_ASSIGNMENT)[0]!);
  }
  return bodies;
}

/** A state with a configured domain that has a scheduler. */
export function createState(targets: number, workspaces: number): LedgerState {
  const state = new LedgerState();
  foldAll(state, [
    createConfiguredRecord(createEntities(targets, workspaces), 0),
    CLAIM_RECORD,
  ]);
  return state;
}

function targetId(index: number): string {
  return `target-${index}`;
}
