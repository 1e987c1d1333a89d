import t from 'tap';
import {EmulatedCluster, type TaskBehavior} from '@galenavalve/emulator';
import {type Random, SeededRandom} from '@galenavalve/shared';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

/** Time between two mass restarts, and for which targets are down then. */
const INTERVAL_MS = 2500;
const DOWN_MS = 600;

const SEEDS = [1, 2, 3, 4];

interface MassRestart {
  /** Whether callers notice the end of a target by its silence alone. */
  isSilent: boolean;
  /** Whether targets come back with another id. */
  hasNewId: boolean;
}

const KINDS: readonly MassRestart[] = [
  {isSilent: true, hasNewId: false},
  {isSilent: false, hasNewId: false},
  {isSilent: false, hasNewId: true},
];

async function startCluster(
  seed: number,
  crashingTasks: ReadonlySet<string> = new Set(),
): Promise<EmulatedCluster> {
  const cluster: EmulatedCluster = new EmulatedCluster({
    seed,
    targets: 16,
    targetsPerRack: 4,
    getTaskBehavior: task => {
      const [id, , step] = task.split('.');
      const {estimateMs, savesProgress, isGang, count, isLongRunning} =
        cluster.jobs.get(id!)!.spec.steps[Number(step)]!;
      const behavior: TaskBehavior = {
        work: isLongRunning ? Infinity : estimateMs,
        savesProgress,
        gangSize: isGang ? count : 1,
      };
      return crashingTasks.has(task)
        ? {...behavior, crashesTargetAt: 10}
        : behavior;
    },
  });
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

/** Restarts each target that is up with probability one half, all at the same time. */
function restartTogether(
  {fleet, clock}: EmulatedCluster,
  random: Random,
  {isSilent, hasNewId}: MassRestart,
): void {
  fleet.faults.newIdAfterCrash = hasNewId;
  fleet.faults.restartDelay = DOWN_MS;
  const up = [...fleet.targets.values()].filter(({isUp}) => isUp);
  for (const target of up.filter(() => random.next() < 0.5)) {
    if (!isSilent) {
      fleet.onTargetCrash(target);
      continue;
    }
    const {info} = target;
    fleet.crashTarget(info.id);
    void clock
      .sleep(DOWN_MS)
      .then(() => fleet.addTarget({...info, born: clock.wallTime()}));
  }
}

/** Lets a stream of jobs come while targets restart together; every third start gets no answer and is carried out late at first. */
async function runStream(
  cluster: EmulatedCluster,
  seed: number,
  kind: MassRestart,
  stream: ReturnType<typeof createStream>,
): Promise<void> {
  const random = new SeededRandom(seed);
  cluster.fleet.faults.delayedCommands = 0.35;
  for (const {id, spec, priority} of stream) {
    void cluster.submit(id, spec, priority);
    await cluster.advance(50);
  }
  await cluster.advance(1000);
  for (let round = 0; round < 5; round++) {
    restartTogether(cluster, random, kind);
    await cluster.advance(INTERVAL_MS);
  }
  cluster.fleet.faults.delayedCommands = 0;
  const haveEnded = () =>
    stream.every(({id}) => cluster.getJobState(id) !== 'active');
  await cluster.waitUntil(haveEnded, 240_000);
}

function createLongerStream(seed: number): ReturnType<typeof createStream> {
  return createStream(seed, 24).map(({spec, ...values}) => ({
    ...values,
    spec: createSpec(
      spec.steps.map(step => ({...step, estimateMs: step.estimateMs + 3000})),
    ),
  }));
}

function listEnded(
  cluster: EmulatedCluster,
  stream: ReturnType<typeof createStream>,
  state: string,
): string[] {
  return stream
    .map(({id}) => id)
    .filter(id => cluster.getJobState(id) === state);
}

// Guards against jobs that are given up for crashes of targets that restart together for another cause.
t.test('targets that restart together fail no job', async t => {
  for (const kind of KINDS) {
    for (const seed of SEEDS) {
      const label = `${JSON.stringify(kind)}, seed ${seed}`;
      const stream = createLongerStream(seed);
      const cluster = await startCluster(seed);
      await runStream(cluster, seed, kind, stream);
      t.same(listEnded(cluster, stream, 'failed'), [], label);
      t.same(listEnded(cluster, stream, 'active'), [], label);
      cluster.close();
    }
  }
});

// Guards against a task that crashes its targets without a limit, since others restart at the same time.
t.test(
  'a task that crashes its targets is given up while others restart together',
  async t => {
    for (const kind of KINDS) {
      for (const seed of SEEDS) {
        const label = `${JSON.stringify(kind)}, seed ${seed}`;
        const stream = createLongerStream(seed);
        const crashing = stream.filter((_, index) => index % 8 === 3);
        const cluster = await startCluster(
          seed,
          new Set(crashing.map(({id}) => `${id}.0.0.0`)),
        );
        await runStream(cluster, seed, kind, stream);
        t.same(
          listEnded(cluster, stream, 'failed'),
          crashing.map(({id}) => id),
          label,
        );
        const broken = cluster.auditor.violations.filter(
          ({rule}) => rule === 'crash-budget',
        );
        t.same(broken, [], label);
        cluster.close();
      }
    }
  },
);

// Guards against a wide job whose crashing tasks pass for a common cause, because their targets crash together.
t.test(
  'a job of which many tasks crash their targets together is given up',
  async t => {
    for (const seed of SEEDS) {
      const id = createId(1);
      const spec = createSpec([createStep({count: 12, estimateMs: 3000})]);
      const tasks = Array.from(
        {length: 12},
        (_, index) => `${id}.0.0.${index}`,
      );
      const cluster = await startCluster(seed, new Set(tasks));
      void cluster.submit(id, spec);
      const hasFailed = () => cluster.getJobState(id) === 'failed';
      t.ok(await cluster.waitUntil(hasFailed, 60_000), `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);
