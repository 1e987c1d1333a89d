import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {type JobSpec, jobSpecSchema} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

const HUGE = Number.MAX_SAFE_INTEGER;
const step = createStep({count: 1});

/** Jobs of a caller with extreme values; each is either refused as invalid or accepted. */
const ODD_JOBS = new Map<string, JobSpec>([
  ['a huge estimate', createSpec([createStep({count: 1, estimateMs: 1e308})])],
  [
    'huge estimates one after the other',
    createSpec([
      createStep({count: 1, estimateMs: 1e308}),
      createStep({count: 1, estimateMs: 1e308, dependsOn: [0]}),
    ]),
  ],
  [
    'a huge demand',
    createSpec([
      createStep({demand: {cpu: HUGE, memoryMb: HUGE, accelerators: HUGE}}),
    ]),
  ],
  [
    'a gang of the largest size and a huge demand',
    createSpec([
      createStep({
        count: 4096,
        isGang: true,
        demand: {cpu: 1, memoryMb: 1, accelerators: HUGE},
      }),
    ]),
  ],
  ['an odd label', createSpec([createStep({requiredLabel: '__proto__'})])],
  ['an odd rack', createSpec([createStep({dataRack: '\0'.repeat(10_000)})])],
  [
    'huge limits',
    createSpec([createStep({maxPerTarget: HUGE, maxUnavailable: HUGE})]),
  ],
  ...(
    [
      ['huge number of occurrences at once', HUGE, 0, 0],
      ['huge number of occurrences each millisecond', HUGE, 0, 1],
      ['number of occurrences within the limits', 5000, 0, 0],
      ['huge start time', 3, 1e308, 1],
      ['huge interval', 3, 0, 1e308],
    ] as const
  ).map(([kind, times, startAt, intervalMs]): [string, JobSpec] => [
    `a ${kind}`,
    {payload: '', steps: [step], schedule: {times, startAt, intervalMs}},
  ]),
]);

async function startCluster(): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed: 1, instances: 3});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  return cluster;
}

/** Submits a job of one task and returns whether it is complete within ten seconds. */
async function completesJob(
  cluster: EmulatedCluster,
  number: number,
): Promise<boolean> {
  const spec = createSpec([createStep({count: 1, estimateMs: 300})]);
  void cluster.submit(createId(number), spec, 0);
  const isComplete = () => cluster.getJobState(createId(number)) === 'complete';
  return cluster.waitUntil(isComplete, 10_000);
}

// Guards against one job that takes leader after leader down, or keeps all others from running (issue 33).
for (const [kind, spec] of ODD_JOBS) {
  t.test(`a job with ${kind} keeps no other job`, async t => {
    const cluster = await startCluster();
    const leader = cluster.findLeader()!.name;
    if (jobSpecSchema.safeParse(spec).success) {
      void cluster.submit(createId(1), spec);
    }
    await cluster.advance(500);
    const startedAt = performance.now();
    t.ok(await completesJob(cluster, 2));
    t.equal(cluster.findLeader()?.name, leader);
    cluster.killInstance(leader);
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 10_000);
    t.ok(await completesJob(cluster, 3), 'after a takeover');
    t.comment(`${Math.round(performance.now() - startedAt)} ms`);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  });
}
