/**
 * A job ends while the store is down, and the leader tells the requester that it
 * is complete. Then the zone of the leader and of the job's worker loses power.
 * Once the store and the zone are back, the job runs again.
 *
 * With `TROUBLE=0` the store is down, and the zone keeps its power.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {System, createConfig, runCase, sleep} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

/** Times after the start of the outage: its end, the question, the loss of power. */
const OUTAGE_MS = 4500;
const QUESTION_MS = 2600;
const LOSS_MS = 3200;
/** Time for which the zone is without power. */
const ZONE_DOWN_MS = 5000;
/** `contact_ms` of the site, and the time after which a start breaks the rule. */
const CONTACT_MS = 3000;
const SHOWN_MS = 1000;
const WORK_MS = 3000;

const PREFIX = '/lohu930/';
const KEY = 'key-1';
const JOB = '5c0e7a21d94b36f8';
const folder = dirname(fileURLToPath(import.meta.url));
const system = new System({
  recordFile: join(folder, 'record.txt'),
  describeTask: () => ({durationMs: WORK_MS}),
});

await runCase(system, async () => {
  await system.start({
    instances: 3,
    workers: 9,
    config: createConfig(
      [{name: 'route-1', path_prefix: PREFIX}],
      [{name: 'tenant-1', api_keys: [KEY]}],
    ),
  });
  await sleep(4000);
  // The data of the job is in the leader's zone, each of which has one rack.
  const leader = system.findLeader();
  const zone = system.daemons[leader].zone;
  const workers = system.workers.filter(({info}) => info.zone === zone);
  const submitted = await system.request(0, 'POST', PREFIX + JOB, {
    key: KEY,
    body: createBody(workers[0].info.labels[1]),
  });
  if (submitted.status !== 200) {
    throw new Error('the system does not serve');
  }
  await sleep(1500);
  if (!workers.some(({running}) => running.size > 0)) {
    throw new Error('the job was not started near its data');
  }

  const downAt = system.now();
  const waitUntil = time => sleep(Math.max(0, downAt + time - system.now()));
  system.store.isDown = true;
  system.record('store: down');
  await waitUntil(QUESTION_MS);
  const shown = await readState(leader);
  const shownAt = system.now();
  if (TROUBLE) {
    await waitUntil(LOSS_MS);
    system.record(`${zone}: without power for ${ZONE_DOWN_MS} ms`);
    system.endDaemon(leader, 'SIGKILL', ZONE_DOWN_MS);
    workers.forEach(worker => worker.crash(ZONE_DOWN_MS));
  }
  await waitUntil(OUTAGE_MS);
  system.store.isDown = false;
  const upAt = system.now();
  system.record('store: up again');
  for (let second = 0; second < 20; second++) {
    await sleep(1000);
    await readState((leader + 1 + (second % 2)) % 3);
  }

  const starts = system.events.filter(
    ({kind, at, leader: starter}) =>
      kind === 'start' &&
      at > shownAt + SHOWN_MS &&
      at > upAt + CONTACT_MS &&
      starter?.split('/')[0] !== system.daemons[leader].name,
  );
  system.record(`shown as ${shown}; ${starts.length} starts afterwards`);
  return shown === 'complete' && starts.length > 0
    ? `TWICE: a task was started ${Math.round(starts[0].at - shownAt)} ms after its job was shown as complete`
    : undefined;
});

function createBody(rack) {
  const step = {count: 1, cpu: 2000, mem_mb: 512, estimate_ms: WORK_MS};
  return {spec: 'border preview', steps: [{...step, affinity: rack}]};
}

async function readState(instance) {
  const answer = await system.request(instance, 'GET', PREFIX + JOB, {
    key: KEY,
  });
  return answer.status === 200 ? JSON.parse(answer.text).state : undefined;
}
