/** Callers who ask for jobs at other instances than the ones that accept them. */
import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import {createId, createSpec, createStep} from './fixtures.js';

/** Number of jobs that are submitted in one run. */
const JOBS = 25;

/** Interval at which callers ask for a job; shorter than a page is on its way. */
const ASK_INTERVAL_MS = 40;

/** Time for which callers ask for a job, from before its acceptance on. */
const ASK_TIME_MS = 600;

/** Submits jobs while callers ask for them at every instance, and counts the responses by kind or state. */
async function countResponses(
  seed: number,
  pageDelay: number,
): Promise<{cluster: EmulatedCluster; responses: Map<string, number>}> {
  const cluster = new EmulatedCluster({seed});
  const random = new SeededRandom(seed);
  const responses = new Map<string, number>();
  const ask = async (id: string, index: number) => {
    const at = cluster.listRunningInstances()[index]!;
    const response = await cluster.readState(id, at);
    responses.set(response, (responses.get(response) ?? 0) + 1);
  };
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  cluster.log.faults.pageDelay = pageDelay;
  const spec = createSpec([createStep({estimateMs: 500})]);
  for (let job = 1; job <= JOBS; job++) {
    const instances = cluster.listRunningInstances();
    const at = instances[nextInteger(random, instances.length)];
    void cluster.submit(createId(job), spec, 1, at);
    for (let time = 0; time < ASK_TIME_MS; time += ASK_INTERVAL_MS) {
      instances.forEach((_, index) => void ask(createId(job), index));
      await cluster.advance(ASK_INTERVAL_MS);
    }
  }
  cluster.log.faults.pageDelay = 0;
  await cluster.advance(3000);
  cluster.close();
  return {cluster, responses};
}

// Guards against an absence that is told from a read of the log which began before the caller asked.
t.test(
  'no caller is told that a job does not exist that was accepted before',
  async t => {
    for (const pageDelay of [0, 30, 300, 550]) {
      for (let seed = 1; seed <= 5; seed++) {
        const {cluster, responses} = await countResponses(seed, pageDelay);
        const counts = JSON.stringify([...responses]);
        const {violations} = cluster.auditor;
        t.same(
          violations.slice(0, 3),
          [],
          `pages up to ${pageDelay} ms late, seed ${seed}: ${violations.length} violations, ${counts}`,
        );
        t.ok(responses.has('unknown-job'), 'callers ask before acceptance too');
      }
    }
  },
);
