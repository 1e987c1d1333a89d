import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import type {LogFields, Logger} from '@galenavalve/shared';
import type {Step} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** One-way latency to the targets, so that much happens before an answer. */
const LATENCY_MS = 30;

/** Value at which a clock starts that is ahead of those that started with the cluster. */
const AHEAD_MS = 10_000_000;

/** Time for which a target that restarts is down. */
const DOWNTIME_MS = 300;

/** Time within which the job of a case is done, after its last fault. */
const FINISH_MS = 60_000;

interface Case {
  name: string;
  step: Partial<Step>;
  /** Time from the restart of a target to the submission of the job. */
  submitsAfter: number;
  /** Share of commands that are carried out late while the job starts. */
  delayedCommands?: number;
  restartsAgain?: boolean;
  /** Whether the targets are cut off as soon as the leader notices that they have restarted. */
  isCutOff?: boolean;
  losesLeader?: boolean;
}

/** Reports each target that the leader finds to have restarted, with the number of its runs. */
class RestartListener implements Logger {
  constructor(private readonly onRestart: (id: string, runs: number) => void) {}

  info(event: string, fields?: LogFields): void {
    if (event === 'target-restarted') {
      this.onRestart(String(fields?.['target']), Number(fields?.['runs']));
    }
  }

  debug(): void {}
  warn(): void {}
  error(): void {}
}

const GANG = {count: 4, isGang: true, estimateMs: 8000};
const TASKS = {count: 6, estimateMs: 8000};

/** Two members, or eight tasks, fill a target. */
const DEMAND = {cpu: 4000, memoryMb: 8000, accelerators: 4};

const CASES: Case[] = [
  {name: 'a gang', step: GANG, submitsAfter: 20},
  {name: 'a gang, later', step: GANG, submitsAfter: 250},
  {name: 'a wide step', step: TASKS, submitsAfter: 20},
  {
    name: 'a gang whose target restarts again',
    step: GANG,
    submitsAfter: 100,
    restartsAgain: true,
  },
  {
    name: 'a gang whose target is cut off soon after',
    step: GANG,
    submitsAfter: 100,
    isCutOff: true,
  },
  {
    name: 'a wide step whose leader is lost',
    step: TASKS,
    submitsAfter: 100,
    losesLeader: true,
  },
  {
    name: 'a gang with late starts',
    step: GANG,
    submitsAfter: 100,
    delayedCommands: 0.5,
  },
  {
    name: 'a wide step with late starts, whose target restarts again',
    step: TASKS,
    submitsAfter: 100,
    delayedCommands: 0.5,
    restartsAgain: true,
  },
];

/** Restarts targets while polls hang on connections to their former incarnations, and submits a job before these time out. */
async function playRestart(
  seed: number,
  {step, submitsAfter, delayedCommands = 0, ...values}: Case,
): Promise<{cluster: EmulatedCluster; affectedRuns: number}> {
  let affectedRuns = 0;
  const logger = new RestartListener((id, runs) => {
    affectedRuns += runs;
    if (values.isCutOff) {
      fleet.faults.unreachableTargets.add(id);
    }
  });
  const cluster = new EmulatedCluster({seed, logger});
  const {fleet} = cluster;
  fleet.faults.latency = LATENCY_MS;
  // The clock of the next incarnation is ahead of that of the former one, or behind it.
  fleet.chooseClockStart = () => (seed % 4 < 2 ? 0 : AHEAD_MS);
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(20_000 + 137 * seed);
  fleet.faults.keepsDeadConnections = true;
  const restarted = ['t0', 't1', 't4'];
  const restart = () =>
    restarted.forEach(id => void fleet.restartTarget(id, DOWNTIME_MS));
  restart();
  await cluster.advance(DOWNTIME_MS + submitsAfter);
  fleet.faults.delayedCommands = delayedCommands;
  fleet.faults.delayedPolls = delayedCommands / 2;
  void cluster.submit(ID, createSpec([createStep({demand: DEMAND, ...step})]));
  await cluster.advance(300);
  if (values.losesLeader) {
    cluster.killInstance(cluster.findLeader()!.name);
  }
  await cluster.advance(1200);
  if (values.restartsAgain) {
    restart();
  }
  await cluster.advance(4000);
  fleet.faults.delayedCommands = 0;
  fleet.faults.delayedPolls = 0;
  await cluster.advance(5000);
  fleet.faults.unreachableTargets.clear();
  return {cluster, affectedRuns};
}

// Guards against a task that runs twice because the next incarnation of its target answered a start that was meant for the former one.
for (const values of CASES) {
  t.test(
    `a start that the next incarnation answers: ${values.name}`,
    async t => {
      let affected = 0;
      for (const seed of SEEDS) {
        const {cluster, affectedRuns} = await playRestart(seed, values);
        affected += affectedRuns;
        const isDone = () => cluster.getJobState(ID) === 'complete';
        t.ok(await cluster.waitUntil(isDone, FINISH_MS), `seed ${seed}`);
        const violations = cluster.auditor.violations.filter(
          ({rule}) => rule !== 'gang-alone' || !values.delayedCommands,
        );
        t.same(violations, [], `seed ${seed}`);
        cluster.close();
      }
      t.ok(affected > 0, 'some runs are on targets that restart');
    },
  );
}

// Guards against two runs of a task because the incarnation that refuses a late start, for which its run was released, restarts before that is carried out.
t.test(
  'a start that reaches the incarnation after the next one: a wide step with late starts',
  async t => {
    for (const seed of [9, 10, 11, 12, 13, 14, 15, 16]) {
      const {cluster} = await playRestart(seed, {
        name: 'a wide step',
        step: TASKS,
        submitsAfter: 100,
        delayedCommands: 0.5,
        restartsAgain: true,
      });
      const isDone = () => cluster.getJobState(ID) === 'complete';
      t.ok(await cluster.waitUntil(isDone, FINISH_MS), `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);

// Guards against a job that is given up because its runs were placed on incarnations that had crashed before.
t.test(
  'a job is not given up for crashes that were over before its runs were placed',
  async t => {
    for (const seed of [17, 18, 19, 20]) {
      const {cluster} = await playRestart(seed, {
        name: 'a wide step',
        step: TASKS,
        submitsAfter: 100,
        delayedCommands: 0.5,
        restartsAgain: true,
      });
      const isEnded = () =>
        ['complete', 'failed'].includes(cluster.getJobState(ID) ?? '');
      t.ok(await cluster.waitUntil(isEnded, FINISH_MS), `seed ${seed}`);
      t.equal(cluster.getJobState(ID), 'complete', `seed ${seed}`);
      cluster.close();
    }
  },
);
