/** Generates the records of a log of a given size: targets, workspaces, and jobs in every phase. */
import {
  type Assignment,
  type Edit,
  type Entity,
  type JobRequest,
  type LogRecord,
  type RecordBody,
  createReason,
  entity,
  getEntityKey,
} from '@galenavalve/model';
import {hashValue} from '@galenavalve/shared';

/** Sizes of the cluster and of its workload. */
export interface FoldSizes {
  domains: number;
  targets: number;
  workspaces: number;
  runningJobs: number;
  /** Number of tasks of each gang. */
  gangTasks: number;
  queuedJobs: number;
  finishedJobs: number;
  /** Size of the result of each finished job, in bytes. */
  resultBytes: number;
  /** Number of changes of single targets after the first configuration. */
  changes: number;
}

const START_MS = 1_700_000_000_000;
const TASKS_PER_TARGET = 8;
const MAX_EDITS_PER_RECORD = 5000;

/** Generates the records in log order. */
export function* createRecords(sizes: FoldSizes): Generator<LogRecord> {
  let sequence = 0;
  for (const body of createBodies(sizes)) {
    sequence += 1;
    yield {
      v: 1,
      recordId: `i${sequence % 8}-lq3k2m9x1f-${sequence}`,
      at: START_MS + sequence,
      by: `i${sequence % 8}`,
      ...body,
    };
  }
}

function* createBodies(sizes: FoldSizes): Generator<RecordBody> {
  yield* createConfigurationRecords(sizes);
  for (let d = 0; d < sizes.domains; d++) {
    yield {type: 'claimed', domain: `d${d}`, term: createTerm(d)};
  }
  for (let i = 0; i < sizes.finishedJobs; i++) {
    yield* createRunningJobRecords(sizes, `f${i}`, i);
    yield createFinishedRecord(sizes, `f${i}`, i);
  }
  for (let i = 0; i < sizes.runningJobs; i++) {
    yield* createRunningJobRecords(sizes, `a${i}`, i);
  }
  for (let i = 0; i < sizes.queuedJobs; i++) {
    yield createSubmittedRecord(sizes, `q${i}`, i);
  }
  for (let i = 0; i < sizes.changes; i++) {
    yield createTargetChange(sizes, i);
  }
}

function* createConfigurationRecords(sizes: FoldSizes): Generator<RecordBody> {
  const entities = createEntities(sizes);
  for (let start = 0; start < entities.length; start += MAX_EDITS_PER_RECORD) {
    const values = entities.slice(start, start + MAX_EDITS_PER_RECORD);
    const edits = values.map(value => createEdit(value, 0));
    yield createChange(`initial-${start}`, edits);
  }
}

function createEntities(sizes: FoldSizes): Entity[] {
  const entities: Entity[] = [];
  for (let d = 0; d < sizes.domains; d++) {
    entities.push(
      entity.parse({kind: 'domain', id: `d${d}`, region: 'region-1'}),
    );
  }
  for (let i = 0; i < sizes.workspaces; i++) {
    entities.push(createWorkspace(i));
  }
  for (let i = 0; i < sizes.targets; i++) {
    entities.push(createTarget(sizes, i));
  }
  return entities;
}

function createWorkspace(i: number): Entity {
  return entity.parse({
    kind: 'workspace',
    id: `workspace-${i}`,
    queueLimit: 1_000_000,
    guarantees: [{level: 'target', count: 1}],
  });
}

function createTarget(sizes: FoldSizes, i: number, state = 'in-service') {
  return entity.parse({
    kind: 'target',
    id: `target-${i}`,
    domain: `d${i % sizes.domains}`,
    rack: `rack-${Math.floor(i / sizes.domains / 8)}`,
    endpoint: `http://10.${i >> 16}.${(i >> 8) & 255}.${i & 255}:7400`,
    accelerators: 8,
    processors: 32,
    memoryMb: 65_536,
    slots: 8,
    state,
  });
}

function createTargetChange(sizes: FoldSizes, i: number): RecordBody {
  const index = i % sizes.targets;
  const baseVersion = 1 + Math.floor(i / sizes.targets);
  const value = createTarget(sizes, index, i % 2 ? 'in-service' : 'leaving');
  return createChange(`change-${i}`, [createEdit(value, baseVersion)]);
}

function createEdit(value: Entity, baseVersion: number): Edit {
  return {entity: getEntityKey(value), baseVersion, value};
}

function createChange(changeId: string, edits: Edit[]): RecordBody {
  return {
    type: 'configured',
    change: {changeId, author: 'asset-register', edits},
  };
}

function* createRunningJobRecords(
  sizes: FoldSizes,
  jobId: string,
  i: number,
): Generator<RecordBody> {
  yield createSubmittedRecord(sizes, jobId, i);
  const domain = i % sizes.domains;
  const attempt = {
    jobId,
    attempt: 1,
    domain: `d${domain}`,
    term: createTerm(domain),
  };
  yield {
    type: 'placed',
    ...attempt,
    assignments: assignGang(sizes, i),
    guaranteed: true,
    reason: createReason('placed-guaranteed', {
      targets: `${Math.ceil(sizes.gangTasks / TASKS_PER_TARGET)} targets`,
      workspace: getWorkspaceId(sizes, i),
    }),
  };
  yield {type: 'started', ...attempt};
}

function createSubmittedRecord(
  sizes: FoldSizes,
  jobId: string,
  i: number,
): RecordBody {
  const request = createRequest(sizes, jobId, i);
  const domain = `d${i % sizes.domains}`;
  return {
    type: 'submitted',
    jobId,
    request,
    bodyHash: hashValue(request),
    domain,
    reason: createReason('routed-capacity', {domain}),
  };
}

function createRequest(sizes: FoldSizes, jobId: string, i: number): JobRequest {
  return {
    requestId: `request-${jobId}`,
    workspace: getWorkspaceId(sizes, i),
    gang: {
      tasks: sizes.gangTasks,
      perTask: {accelerators: 1, processors: 4, memoryMb: 8192},
      adjacency: 'domain',
    },
    expectedSeconds: 3600,
    repeatable: true,
    urgent: false,
    checkpointable: true,
    kind: 'layout',
    createdAt: START_MS,
    payload: {pattern: `pattern-${i}`, revision: i},
  };
}

function createFinishedRecord(
  sizes: FoldSizes,
  jobId: string,
  i: number,
): RecordBody {
  const domain = i % sizes.domains;
  const results = [`${i}-`.padEnd(sizes.resultBytes, 'x')];
  return {
    type: 'finished',
    jobId,
    attempt: 1,
    domain: `d${domain}`,
    term: createTerm(domain),
    outcome: 'succeeded',
    results,
    resultHash: hashValue(results),
    ranSeconds: 3600,
    reason: createReason('finished', {tasks: sizes.gangTasks}),
  };
}

/** Assigns whole targets of the gang's domain; accelerators of the last target can stay free. */
function assignGang(sizes: FoldSizes, i: number): Assignment[] {
  const targetsPerDomain = Math.floor(sizes.targets / sizes.domains);
  const targetCount = Math.ceil(sizes.gangTasks / TASKS_PER_TARGET);
  const assignments: Assignment[] = [];
  for (
    let assignmentIndex = 0;
    assignmentIndex < targetCount;
    assignmentIndex++
  ) {
    const firstTask = assignmentIndex * TASKS_PER_TARGET;
    const tasks = Math.min(TASKS_PER_TARGET, sizes.gangTasks - firstTask);
    const index = (i * targetCount + assignmentIndex) % targetsPerDomain;
    assignments.push({
      target: `target-${index * sizes.domains + (i % sizes.domains)}`,
      firstTask,
      tasks,
      accelerators: 2 ** tasks - 1,
    });
  }
  return assignments;
}

function getWorkspaceId(sizes: FoldSizes, i: number): string {
  return `workspace-${i % sizes.workspaces}`;
}

function createTerm(domain: number) {
  return {log: 1, outage: 0, instance: `i${domain % 8}`};
}
