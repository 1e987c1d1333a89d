/**
 * The answers of the store to the writes of one submission are lost, and the
 * writes are done some seconds late. The requester, who gets no success, cancels
 * the job. The cancelling is acknowledged, and the job runs afterwards.
 *
 * With `TROUBLE=0` the store answers every write.
 */
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {System, createConfig, runCase, sleep} from '../lib/system.mjs';

const TROUBLE = process.env.TROUBLE !== '0';

/** `cancel_ms` and `contact_ms` of the site, in milliseconds. */
const CANCEL_MS = 3000;
const CONTACT_MS = 3000;
/** Time after which a lost write is done; the bench has 1 to 6 s. */
const LATE_MS = 6000;
/** Time for which writes are lost before the submission; with it, about 4.5 s. */
const EARLIER_LOSS_MS = 2000;
const WORK_MS = 2000;

const KEY = 'key-1';
const PREFIX = '/lohu930/';
const JOB = '5c0e7a21d94b36f8';
const EARLIER_JOB = '5c0e7a21d94b3600';
const BODY = {
  spec: 'border preview',
  steps: [{count: 2, cpu: 2000, mem_mb: 512, estimate_ms: WORK_MS}],
};

const folder = dirname(fileURLToPath(import.meta.url));
const system = new System({
  recordFile: join(folder, 'record.txt'),
  describeTask: () => ({durationMs: WORK_MS}),
});

await runCase(system, async () => {
  await system.start({
    instances: 3,
    workers: 6,
    config: createConfig(
      [{name: 'route-1', path_prefix: PREFIX}],
      [{name: 'tenant-1', api_keys: [KEY]}],
    ),
  });
  const submit = (instance, id) =>
    system.request(instance, 'POST', PREFIX + id, {key: KEY, body: BODY});
  const earlier = await submit(0, EARLIER_JOB);
  if (earlier.status !== 200) {
    throw new Error('the system does not serve');
  }
  await sleep(4000);

  const losses = loseWritesOf(JOB);
  await sleep(EARLIER_LOSS_MS);
  const submitted = await submit(1, JOB);
  losses.end();
  const cancelled = await system.request(1, 'DELETE', PREFIX + JOB, {key: KEY});
  const cancelledAt = system.now();
  if (!isAcknowledged(cancelled.status)) {
    throw new Error('the cancelling was not acknowledged');
  }
  for (let second = 0; second < 12; second++) {
    await sleep(1000);
    await system.request(second % 3, 'GET', PREFIX + JOB, {key: KEY});
  }

  const late = system.events.filter(
    ({kind, task, at}) =>
      kind === 'start' &&
      task.startsWith(JOB) &&
      at > cancelledAt + CANCEL_MS &&
      at > losses.endedAt + CONTACT_MS,
  );
  system.record(
    `submission ${submitted.status}, cancelling ${cancelled.status}, ${late.length} starts too late`,
  );
  return late.length > 0
    ? `UNASKED: ${late.length} tasks of the job were started later than ${CANCEL_MS} ms after its cancelling was acknowledged with ${cancelled.status}`
    : undefined;
});

/** Makes the store leave writes that concern a job unanswered until `end` is called. */
function loseWritesOf(job) {
  const losses = {
    endedAt: -Infinity,
    end: () => {
      system.store.decideAppend = () => undefined;
      losses.endedAt = system.now();
      system.record(
        `store: answers all writes again; ${lost} of ${written} were lost`,
      );
    },
  };
  let lost = 0;
  let written = 0;
  system.record('store: answers are lost from now on');
  system.store.decideAppend = (topic, records) => {
    written++;
    if (!TROUBLE || !records.some(({key}) => key.includes(job))) {
      return undefined;
    }
    lost++;
    system.record(`store: a write is not answered, and done in ${LATE_MS} ms`);
    return {lateMs: LATE_MS};
  };
  return losses;
}

function isAcknowledged(status) {
  return (status >= 200 && status < 300) || status === 410;
}
