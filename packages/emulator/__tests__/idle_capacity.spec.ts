/** Incident LOST: a job could run and does not, while most of the capacity is free. */
import t from 'tap';
import {EmulatedCluster, type TaskBehavior} from '@galenavalve/emulator';
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import type {Step} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

/** Longest time, in milliseconds, for which a job may have no run though it could. */
const MAX_IDLE_MS = 3000;

/** Time after which the next incarnation of a crashed target is registered, in milliseconds. */
const CRASH_NOTICE_MS = 3300;

const STEP_MS = 50;

type Behaviors = Map<string, Partial<TaskBehavior>>;

async function startCluster(
  seed: number,
  behaviors: Behaviors,
): Promise<EmulatedCluster> {
  const cluster: EmulatedCluster = new EmulatedCluster({
    seed,
    targets: 15,
    getTaskBehavior: task => {
      const id = task.split('.')[0]!;
      const step = cluster.jobs.get(id)!.spec.steps[0]!;
      return {
        work: step.isLongRunning ? Infinity : step.estimateMs,
        savesProgress: step.savesProgress,
        gangSize: step.isGang ? step.count : 1,
        rackFactor: 3,
        ...behaviors.get(id),
      };
    },
  });
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

/** Measures for how long jobs have no run while they fit twice and under half of the accelerators are in use. */
class IdleWatch {
  /** Longest time by job, in milliseconds. */
  readonly longest = new Map<string, number>();
  private readonly idleSince = new Map<string, number>();
  /** When a target last crashed under a run of a job, by job; the run may have been too short to be looked at. */
  private readonly crashedAt = new Map<string, number>();

  constructor(private readonly cluster: EmulatedCluster) {
    cluster.fleet.observers.add({
      onEnd: ({isUp}, {task}, _kind, now) => {
        if (!isUp) {
          this.crashedAt.set(task.split('.')[0]!, now);
        }
      },
    });
  }

  /** Advances virtual time by `duration` milliseconds. */
  async advance(duration: number): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += STEP_MS) {
      await this.cluster.advance(STEP_MS);
      this.check();
    }
  }

  private check(): void {
    const {cluster} = this;
    const running = new Set<string>();
    const free: number[] = [];
    let used = 0;
    const now = cluster.clock.now();
    for (const target of cluster.fleet.targets.values()) {
      let left = target.isUp ? target.info.capacity.accelerators : 0;
      for (const {task} of target.isUp ? target.runs.values() : []) {
        const id = task.split('.')[0]!;
        const {demand} = cluster.jobs.get(id)!.spec.steps[0]!;
        running.add(id);
        left -= demand.accelerators;
        used += demand.accelerators;
      }
      free.push(left);
    }
    const total = cluster.fleet.targets.size * 8;
    for (const [id, {spec}] of cluster.jobs) {
      const {accelerators} = spec.steps[0]!.demand;
      const fits = free.reduce(
        (sum, left) => sum + Math.max(0, Math.floor(left / accelerators)),
        0,
      );
      const isIdle =
        cluster.getJobState(id) === 'active' &&
        !running.has(id) &&
        fits >= 2 * (spec.steps[0]!.isGang ? spec.steps[0]!.count : 1) &&
        used < total / 2;
      if (!isIdle) {
        this.idleSince.delete(id);
        continue;
      }
      // A crash can be noticed when the next incarnation is registered.
      const noticedAt = (this.crashedAt.get(id) ?? -Infinity) + CRASH_NOTICE_MS;
      const since = Math.max(this.idleSince.get(id) ?? now, noticedAt);
      this.idleSince.set(id, since);
      this.longest.set(id, Math.max(this.longest.get(id) ?? 0, now - since));
    }
  }

  /** Returns the jobs that were idle for too long. */
  listIdle(): Array<[string, number]> {
    return [...this.longest].filter(([, time]) => time >= MAX_IDLE_MS);
  }
}

const WHOLE = {cpu: 4000, memoryMb: 8000, accelerators: 8};

// Guards against a pool that is avoided as a whole because of a job that fails by its own fault.
t.test('a job runs beside a job all of whose tasks fail', async t => {
  const [hopeless, plain] = [createId(1), createId(2)];
  const behaviors: Behaviors = new Map([[hopeless, {failsAt: 0.1}]]);
  const cluster = await startCluster(1, behaviors);
  const watch = new IdleWatch(cluster);
  void cluster.submit(
    hopeless,
    createSpec([createStep({count: 100, estimateMs: 1000})]),
  );
  await watch.advance(250);
  void cluster.submit(plain, createSpec([createStep({estimateMs: 3000})]));
  await watch.advance(20_000);
  t.same(watch.listIdle(), []);
  t.equal(cluster.getJobState(plain), 'complete');
  cluster.close();
});

// Guards against waits without an end for a rack that long-running tasks keep from becoming free.
t.test('jobs run away from racks that long-running tasks hold', async t => {
  const cluster = await startCluster(1, new Map());
  const watch = new IdleWatch(cluster);
  const small = {...WHOLE, accelerators: 1};
  const steps: Array<Partial<Step>> = [
    {count: 3, isLongRunning: true, demand: WHOLE, dataRack: 'r0'},
    ...['r1', 'r2', 'r3', 'r4'].map(requiredLabel => ({
      count: 1,
      isLongRunning: true,
      demand: small,
      requiredLabel,
    })),
    {count: 1, demand: WHOLE, dataRack: 'r0', estimateMs: 2000},
    {count: 3, isGang: true, isRackSensitive: true, demand: WHOLE},
  ];
  for (const [index, step] of steps.entries()) {
    const id = createId(index);
    void cluster.submit(id, createSpec([createStep(step)]));
    await watch.advance(1000);
  }
  await watch.advance(20_000);
  t.same(watch.listIdle(), []);
  t.equal(cluster.getJobState(createId(5)), 'complete');
  t.equal(cluster.getJobState(createId(6)), 'complete');
  t.same(cluster.auditor.violations, []);
  cluster.close();
});

// Guards against all of these at once, with tasks that crash their targets and targets that shrink.
t.test(
  'no job is idle on days with crashing tasks and shrunk targets',
  async t => {
    for (const seed of [1, 2, 3]) {
      const behaviors: Behaviors = new Map();
      const random = new SeededRandom(seed);
      const cluster = await startCluster(seed, behaviors);
      const watch = new IdleWatch(cluster);
      for (let index = 0; index < 40; index++) {
        const id = createId(index);
        const kind = nextInteger(random, 8);
        if (kind === 0) {
          behaviors.set(id, {crashesTargetAt: [10, 2500][index % 2]});
        } else if (kind === 1) {
          behaviors.set(id, {failsAt: 0.2});
        }
        const step = createStep({
          count: 1 + nextInteger(random, kind === 1 ? 30 : 4),
          isGang: kind === 2,
          isRackSensitive: kind === 2,
          isLongRunning: kind === 3,
          dataRack: kind > 5 ? `r${nextInteger(random, 5)}` : undefined,
          estimateMs: 1000 + nextInteger(random, 5000),
          demand: {
            ...WHOLE,
            accelerators:
              kind === 3 ? 1 : [1, 2, 4, 8][nextInteger(random, 4)]!,
          },
        });
        void cluster.submit(id, createSpec([step]));
        cluster.fleet.resizeTarget(`t${nextInteger(random, 15)}`, {
          cpu: 64_000,
          memoryMb: 131_072,
          accelerators: [4, 8][nextInteger(random, 2)]!,
        });
        await watch.advance(STEP_MS * nextInteger(random, 20));
      }
      await watch.advance(40_000);
      t.same(watch.listIdle(), [], `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);
