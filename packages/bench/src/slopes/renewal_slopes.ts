/** What renewing the leases of a target costs, and the usage that the answer reports. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {Term} from '@galenavalve/model';
import {HttpTargetClient} from '@galenavalve/platform';
import type {LeaseKey, TargetAddress, TargetReport} from '@galenavalve/targets';
import {TASKS_PER_PART} from './fixtures.js';
import {busyTimeOf} from './meter.js';
import {type Slope, measureSlopes} from './slope.js';
import {type TargetWorkerAnswer, WORKER_TARGET} from './target_worker.js';

const LEASE_COUNTS = [1, 4, 8, 16, 32];
const RENEWALS = 200;
const TIMEOUT_MS = 5000;

/** Longer than the measurement. */
const LEASE_MS = 600_000;

const TERM: Term = {log: 12, outage: 0, instance: 'entry-north-1'};

const titles = {
  sent: {
    id: 'renewal-sent',
    over: 'leases on a target',
    measured: 'bytes to the target a renewal',
  },
  received: {
    id: 'renewal-received',
    over: 'leases on a target',
    measured: 'bytes from the target a renewal, usage included',
  },
  usage: {
    id: 'usage-received',
    over: 'leases on a target',
    measured: 'bytes of the usage in a renewal answer',
  },
  busyMs: {
    id: 'renewal-time',
    over: 'leases on a target',
    measured: 'busy ms of the keeper a renewal',
  },
};

/** All slopes of renewals. */
export async function measureRenewals(): Promise<Slope[]> {
  return measureSlopes(titles, LEASE_COUNTS, measureTarget);
}

async function measureTarget(
  leases: number,
): Promise<Record<keyof typeof titles, number>> {
  const worker = new Worker(new URL('./target_worker.js', import.meta.url));
  const client = new HttpTargetClient();
  const {port} = await nextAnswer(worker, 'port');
  const target: TargetAddress = {
    id: WORKER_TARGET.id,
    endpoint: `http://127.0.0.1:${port}/targets/${WORKER_TARGET.id}`,
  };
  const keys = await startLeases(client, target, leases);
  let report = await renew(client, target, keys, undefined);
  const before = await askBytes(worker);
  const busyMs = await busyTimeOf(async () => {
    for (let count = 0; count < RENEWALS; count++) {
      report = await renew(client, target, keys, report.clock);
    }
  });
  const after = await askBytes(worker);
  client.close();
  await worker.terminate();
  return {
    sent: (after.forth - before.forth) / RENEWALS,
    received: (after.back - before.back) / RENEWALS,
    usage: Buffer.byteLength(JSON.stringify(report.usage)),
    busyMs: busyMs / RENEWALS,
  };
}

async function startLeases(
  client: HttpTargetClient,
  target: TargetAddress,
  count: number,
): Promise<LeaseKey[]> {
  const keys: LeaseKey[] = [];
  for (let index = 0; index < count; index++) {
    const key = {jobId: `job-kd83jf0a-${100_000 + index}`, attempt: 1};
    const {grantedAt} = await client.reserve(
      target,
      {
        ...key,
        term: TERM,
        workspace: 'workspace-17',
        firstTask: 0,
        tasks: TASKS_PER_PART,
        accelerators: 0,
        processors: 1,
        memoryMb: 4096,
        checkpointable: true,
        ttlMs: TIMEOUT_MS,
      },
      TIMEOUT_MS,
    );
    await client.start(
      target,
      {
        ...key,
        term: TERM,
        grantedAt,
        leaseMs: LEASE_MS,
        progressSeconds: 0,
        payload: {durationMs: LEASE_MS},
      },
      TIMEOUT_MS,
    );
    keys.push(key);
  }
  return keys;
}

function renew(
  client: HttpTargetClient,
  target: TargetAddress,
  leases: LeaseKey[],
  basedOn: number | undefined,
): Promise<TargetReport> {
  const order = {term: TERM, basedOn, leaseMs: LEASE_MS, leases, forget: []};
  return client.renew(target, order, TIMEOUT_MS);
}

async function askBytes(worker: Worker) {
  const answer = nextAnswer(worker, 'bytes');
  worker.postMessage('bytes');
  return answer;
}

async function nextAnswer<Kind extends TargetWorkerAnswer['kind']>(
  worker: Worker,
  kind: Kind,
): Promise<Extract<TargetWorkerAnswer, {kind: Kind}>> {
  const [answer] = (await once(worker, 'message')) as [TargetWorkerAnswer];
  if (answer.kind !== kind) {
    throw new Error(`the thread sent ${answer.kind} in place of ${kind}`);
  }
  return answer as Extract<TargetWorkerAnswer, {kind: Kind}>;
}
