import t from 'tap';
import {type SchedulingPolicy, SlackPolicy} from '@galenavalve/dispatch';
import {EmulatedCluster, auditEnd} from '@galenavalve/emulator';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

const STARVED = createId(1);

/** A policy that never starts units of some jobs. */
class StarvingPolicy implements SchedulingPolicy {
  readonly name = 'starving';
  private readonly slack = new SlackPolicy();

  constructor(private readonly isStarved: (id: string) => boolean) {}

  decide(...[snapshot, now]: Parameters<SchedulingPolicy['decide']>) {
    const decision = this.slack.decide(snapshot, now);
    const starts = decision.starts.filter(
      ({unit}) => !this.isStarved(unit.job.id),
    );
    return {...decision, starts};
  }
}

async function startCluster(
  options: ConstructorParameters<typeof EmulatedCluster>[0] = {},
): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster(options);
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

function listRules(cluster: EmulatedCluster): string[] {
  return cluster.auditor.violations.map(({rule}) => rule);
}

t.test('a job that a policy starves is reported at the end', async t => {
  const policy = new StarvingPolicy(id => id === STARVED);
  const cluster = await startCluster({policy});
  void cluster.submit(STARVED, createSpec());
  void cluster.submit(createId(2), createSpec());
  await auditEnd(cluster);
  t.same(listRules(cluster), ['idle-job']);
  t.match(cluster.auditor.violations[0]!.detail, STARVED);
  cluster.close();
});

t.test('a scheduled job whose second time is starved is reported', async t => {
  let isStarved = false;
  const policy = new StarvingPolicy(() => isStarved);
  const cluster = await startCluster({policy});
  const startAt = cluster.clock.wallTime() + 1000;
  const schedule = {times: 2, startAt, intervalMs: 5000};
  void cluster.submit(STARVED, {...createSpec(), schedule});
  await cluster.advance(4000);
  isStarved = true;
  await auditEnd(cluster);
  t.same(listRules(cluster), ['idle-job']);
  t.match(cluster.auditor.violations[0]!.detail, `${STARVED}.1.0.0`);
  cluster.close();
});

t.test(
  'a long-running task that is not started again is reported at any calm time',
  async t => {
    let isStarved = false;
    const policy = new StarvingPolicy(() => isStarved);
    const cluster = await startCluster({policy});
    const step = createStep({isLongRunning: true, count: 3, estimateMs: 1e6});
    void cluster.submit(STARVED, createSpec([step]));
    await cluster.advance(2000);
    isStarved = true;
    const target = [...cluster.fleet.targets.values()].find(
      ({runs}) => runs.size > 0,
    )!;
    target.endRun([...target.runs.values()][0]!, 'failed');
    await cluster.advance(8000);
    t.same(listRules(cluster), [], 'not before 6 s and 3 s have passed');
    await cluster.advance(1500);
    t.same(listRules(cluster), ['idle-job']);
    cluster.close();
  },
);

t.test('a job that waits for its turn or for room is not reported', async t => {
  const cluster = await startCluster();
  const whole = {cpu: 64_000, memoryMb: 131_072, accelerators: 8};
  const demand = {...whole, accelerators: 0, cpu: 40_000};
  const endless = createStep({count: 9, demand, estimateMs: 60_000});
  const next = createStep({dependsOn: [0]});
  const tooBig = createStep({demand: {...whole, cpu: 65_000}});
  const elsewhere = createStep({requiredLabel: 'unknown'});
  void cluster.submit(createId(1), createSpec([endless, next]));
  for (const [index, step] of [tooBig, elsewhere].entries()) {
    void cluster.submit(createId(index + 2), createSpec([step]));
  }
  const later = {
    times: 1,
    startAt: cluster.clock.wallTime() + 60_000,
    intervalMs: 0,
  };
  void cluster.submit(createId(4), {...createSpec(), schedule: later});
  await auditEnd(cluster);
  t.same(cluster.auditor.violations, []);
  cluster.close();
});

t.test('correct runs are not reported', async t => {
  for (const seed of [1, 2, 3]) {
    const cluster = await startCluster({seed});
    const step = createStep({isLongRunning: true, count: 3});
    void cluster.submit(createId(1000), createSpec([step]));
    for (const {id, spec, priority, gap} of createStream(seed, 20)) {
      void cluster.submit(id, spec, priority);
      await cluster.advance(gap);
    }
    await auditEnd(cluster);
    t.same(cluster.auditor.violations, [], `seed ${seed}`);
    cluster.close();
  }
});
