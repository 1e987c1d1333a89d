import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {
  type AcceptedJob,
  type JobSpec,
  encodeAccepted,
} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

const LIMIT = {total: 2000, perWorkspace: 1000};

function createWideSpec(count: number, estimateMs = 1000): JobSpec {
  const demand = {cpu: 50, memoryMb: 20, accelerators: 0};
  return createSpec([createStep({count, demand, estimateMs})]);
}

async function startCluster(seed: number): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({
    seed,
    instances: 3,
    targets: 9,
    openTaskLimit: LIMIT,
    workspaces: ['w', 'v'].map(name => ({
      name,
      keys: [name],
      guaranteedAccelerators: 8,
    })),
  });
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  return cluster;
}

/** Puts jobs into the log as an instance does that has not read what others accepted. */
function putJobs(
  cluster: EmulatedCluster,
  specs: ReadonlyMap<string, JobSpec>,
  workspace = 'w',
): void {
  for (const [id, spec] of specs) {
    const job: AcceptedJob = {
      queue: 'queue-1',
      workspace,
      acceptedAt: cluster.clock.wallTime(),
      terms: {
        pool: 'pool',
        priority: 1,
        maxAttempts: 3,
        stretch: 3,
        latencyMs: 250,
      },
      spec,
    };
    cluster.jobs.set(id, job);
    cluster.auditor.onSubmitted(id, job);
    cluster.log.put(encodeAccepted(id, job));
  }
}

/** Counts the tasks of the jobs of which the leader has written progress and that have not ended. */
function countKeptTasks(cluster: EmulatedCluster): number {
  const table = cluster.findLeader()?.table;
  return [...(table?.listEntries() ?? [])]
    .filter(({progress}) => progress?.outcome === 'active')
    .reduce((sum, {job}) => sum + job.spec.steps[0]!.count, 0);
}

// Guards against large jobs at several instances at once that exceed the limit together and end every leader (issue 47).
for (const seed of [1, 2, 3]) {
  t.test(
    `large jobs that come at once at all instances are accepted up to the limit (seed ${seed})`,
    async t => {
      const cluster = await startCluster(seed);
      const instances = cluster.listRunningInstances();
      const submissions = Array.from({length: 12}, (_, index) =>
        cluster.submit(
          createId(index + 1),
          createWideSpec(600, 30_000),
          1,
          instances[index % instances.length],
        ),
      );
      await cluster.advance(3000);
      const kinds = (await Promise.all(submissions)).map(({kind}) => kind);
      const accepted = kinds.filter(kind => kind === 'accepted').length;
      t.equal(accepted, 1, 'the share of the workspace is not exceeded');
      t.equal(
        kinds.filter(kind => kind === 'refused').length,
        11,
        'the others are refused at once',
      );
      const table = cluster.findLeader()!.table;
      t.equal(table.countOpenTasks(), 600);
      cluster.close();
    },
  );
}

// Guards against a leader that expands whatever was accepted until its heap is full (issue 47).
t.test(
  'a leader defers what exceeds the limit, keeps it over takeovers, and runs it later',
  async t => {
    const cluster = await startCluster(1);
    const ids = Array.from({length: 12}, (_, index) => createId(index + 1));
    putJobs(cluster, new Map(ids.map(id => [id, createWideSpec(300)])));
    const other = createId(100);
    let most = 0;
    const isComplete = (id: string) => cluster.getJobState(id) === 'complete';
    const observe = async (isReached: () => boolean, limit: number) =>
      cluster.waitUntil(() => {
        most = Math.max(most, countKeptTasks(cluster));
        return isReached();
      }, limit);
    await observe(() => countKeptTasks(cluster) >= 900, 3000);
    putJobs(cluster, new Map([[other, createWideSpec(300)]]), 'v');
    t.ok(
      await observe(() => isComplete(other), 8000),
      'a job of another workspace is done',
    );
    t.notOk(ids.every(isComplete), 'before the deferred ones');
    cluster.killInstance(cluster.findLeader()!.name);
    t.ok(await observe(() => ids.every(isComplete), 90_000), 'all are done');
    t.ok(most <= LIMIT.perWorkspace + 300, `${most} tasks at once`);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test('a deferred job that is cancelled does not run', async t => {
  const cluster = await startCluster(1);
  const ids = Array.from({length: 8}, (_, index) => createId(index + 1));
  putJobs(cluster, new Map(ids.map(id => [id, createWideSpec(300)])));
  await cluster.waitUntil(() => countKeptTasks(cluster) >= 900, 3000);
  const cancelled = ids.at(-1)!;
  void cluster.cancel(cancelled);
  const findProgress = () =>
    cluster.findLeader()?.table.find(cancelled)?.progress;
  const isRecorded = () => findProgress()?.outcome === 'cancelled';
  t.ok(await cluster.waitUntil(isRecorded, 2000), 'its end is recorded');
  t.notOk(findProgress()!.hasBegun);
  t.same(cluster.auditor.violations, []);
  cluster.close();
});
