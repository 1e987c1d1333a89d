/** Measures the time of scheduling passes in a failure domain of the two-year size, which users expect in two years. */
import {LedgerState} from '@galenavalve/ledger';
import {
  type DomainCells,
  GuaranteePolicy,
  type RunningGang,
  type WaitingJob,
} from '@galenavalve/placement';
import {
  TASKS_PER_ASSIGNMENT,
  createAssignments,
  createConfiguredRecord,
  createEntities,
  createRequest,
  foldAll,
} from './fixtures.js';
import {measureTimeMs} from './measurement.js';
import {type Slope, measureSlope} from './slope.js';

const TARGET_COUNTS = [150, 300, 600, 1200];
const QUEUE_LENGTHS = [50, 100, 200, 400];

/** Targets of one failure domain at the two-year size: 8,200 / 7. */
const TARGETS_PER_DOMAIN = 1172;

/** Number of tasks of a running gang and of a waiting job. */
const GANG_TASKS = 64;

/** Number of gangs that have tasks on each target of a busy domain. */
const ASSIGNMENTS_PER_TARGET = 6;

/** Number of passes that are measured together; a pass does not change the cells. */
const PASS_REPETITIONS = 10;

const NOW_MS = 1_800_000_000_000;
const policy = new GuaranteePolicy();

/** Measures all slopes of scheduling passes. */
export async function measureDecisions(): Promise<Slope[]> {
  return [
    await measureSlope(
      {
        id: 'decide-urgent',
        over: 'targets of a busy failure domain',
        measured: 'ms of a pass with one urgent job',
      },
      TARGET_COUNTS,
      targets => measurePassMs(targets, 1),
    ),
    await measureSlope(
      {
        id: 'decide-queue',
        over: `waiting jobs at ${TARGETS_PER_DOMAIN} targets`,
        measured: 'ms of a pass',
      },
      QUEUE_LENGTHS,
      jobs => measurePassMs(TARGETS_PER_DOMAIN, jobs),
    ),
  ];
}

function measurePassMs(targets: number, waiting: number): number {
  const queue = Array.from({length: waiting}, (_, index) =>
    createWaitingJob(index),
  );
  const timeMs = measureTimeMs(
    () => createCells(targets),
    cells => {
      for (let pass = 0; pass < PASS_REPETITIONS; pass++) {
        policy.decide(cells, queue, NOW_MS);
      }
    },
  );
  return timeMs / PASS_REPETITIONS;
}

function createCells(targets: number): DomainCells {
  const state = new LedgerState();
  foldAll(state, [createConfiguredRecord(createEntities(targets, 80), 0)]);
  const cells = policy.createCells('north', state.configuration);
  const assignmentsPerGang = GANG_TASKS / TASKS_PER_ASSIGNMENT;
  const gangs = Math.floor(
    (targets * ASSIGNMENTS_PER_TARGET) / assignmentsPerGang,
  );
  for (let index = 0; index < gangs; index++) {
    cells.addGang(
      createRunningGang(index, (index * assignmentsPerGang) % targets),
    );
  }
  return cells;
}

function createWaitingJob(index: number): WaitingJob {
  const {workspace, gang, kind, expectedSeconds} = createRequest(
    index,
    GANG_TASKS,
  );
  return {
    jobId: `waiting-${index}`,
    workspace,
    gang,
    kind,
    urgent: index === 0,
    repeatable: true,
    checkpointable: true,
    expectedSeconds,
    submittedAt: NOW_MS - 1000 * index,
    avoidTargets: [],
  };
}

function createRunningGang(index: number, first: number): RunningGang {
  const {workspace, gang, kind, expectedSeconds} = createRequest(
    index,
    GANG_TASKS,
  );
  return {
    jobId: `running-${index}`,
    workspace,
    gang,
    kind,
    assignments: createAssignments(GANG_TASKS, first),
    guaranteed: false,
    urgent: false,
    repeatable: true,
    checkpointable: true,
    startedAt: NOW_MS - 3_600_000,
    savedAt: NOW_MS - 600_000,
    expectedSeconds,
    stopping: false,
  };
}
