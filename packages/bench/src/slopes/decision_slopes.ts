/** How long the decisions of a failure domain take at its size in two years. */
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

/** Targets of one failure domain in two years: 8,200 / 7. */
const DOMAIN_TARGETS = 1172;

/** Tasks of one running gang and of one waiting job. */
const GANG_TASKS = 64;

/** Parts that run on each target of a busy domain. */
const PARTS_PER_TARGET = 6;

/** Passes that are measured together; a pass leaves the cells as they were. */
const PASSES = 10;

const NOW = 1_800_000_000_000;
const policy = new GuaranteePolicy();

/** All slopes of decisions. */
export async function measureDecisions(): Promise<Slope[]> {
  return [
    await measureSlope(
      {
        id: 'decide-urgent',
        over: 'targets of a busy failure domain',
        measured: 'ms of a pass with one urgent job',
      },
      TARGET_COUNTS,
      targets => timePass(targets, 1),
    ),
    await measureSlope(
      {
        id: 'decide-queue',
        over: `waiting jobs at ${DOMAIN_TARGETS} targets`,
        measured: 'ms of a pass',
      },
      QUEUE_LENGTHS,
      jobs => timePass(DOMAIN_TARGETS, jobs),
    ),
  ];
}

function timePass(targets: number, waiting: number): number {
  const queue = Array.from({length: waiting}, (_, index) =>
    createWaiting(index),
  );
  const time = measureTimeMs(
    () => createCells(targets),
    cells => {
      for (let pass = 0; pass < PASSES; pass++) {
        policy.decide(cells, queue, NOW);
      }
    },
  );
  return time / PASSES;
}

function createCells(targets: number): DomainCells {
  const state = new LedgerState();
  foldAll(state, [createConfiguredRecord(createEntities(targets, 80), 0)]);
  const cells = policy.createCells('north', state.configuration);
  const partsPerGang = GANG_TASKS / TASKS_PER_ASSIGNMENT;
  const gangs = Math.floor((targets * PARTS_PER_TARGET) / partsPerGang);
  for (let index = 0; index < gangs; index++) {
    cells.addGang(createRunning(index, (index * partsPerGang) % targets));
  }
  return cells;
}

function createWaiting(index: number): WaitingJob {
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
    submittedAt: NOW - 1000 * index,
    avoidTargets: [],
  };
}

function createRunning(index: number, first: number): RunningGang {
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
    startedAt: NOW - 3_600_000,
    savedAt: NOW - 600_000,
    expectedSeconds,
    stopping: false,
  };
}
