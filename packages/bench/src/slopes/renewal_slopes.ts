/** Measures the cost of renewing a target's leases, and of the usage in the response. */
import type {Term} from '@galenavalve/model';
import {HttpTargetClient} from '@galenavalve/platform';
import type {
  LeaseKey,
  TargetAddress,
  TargetReport,
  UsageReport,
} from '@galenavalve/targets';
import {TASKS_PER_ASSIGNMENT} from './fixtures.js';
import {measureBusyTimeMs} from './measurement.js';
import {PlatformThread} from './platform_thread.js';
import {type Slope, measureSlopes} from './slope.js';

const LEASE_COUNTS = [1, 4, 8, 16, 32];
const RENEWAL_REPETITIONS = 100;
const TIMEOUT_MS = 5000;

/** Exceeds the duration of the measurement, so that no lease expires. */
const LEASE_MS = 600_000;

const TERM: Term = {log: 12, outage: 0, instance: 'entry-north-1'};

const TITLES = {
  sent: {
    id: 'renewal-sent',
    over: 'leases on a target',
    measured: 'bytes to the target a renewal',
  },
  received: {
    id: 'renewal-received',
    over: 'leases on a target',
    measured: 'bytes from the target a renewal, without usage',
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

/** Measures all slopes of lease renewals. */
export async function measureRenewals(): Promise<Slope[]> {
  return measureSlopes(TITLES, LEASE_COUNTS, measureRenewal);
}

async function measureRenewal(
  leases: number,
): Promise<Record<keyof typeof TITLES, number>> {
  const platform = await PlatformThread.start({targets: 1});
  const client = new HttpTargetClient();
  const target: TargetAddress = {
    id: 'target-0',
    endpoint: `${platform.urls.targets}/targets/target-0`,
  };
  const keys = await startLeases(client, target, leases);
  let report = await renew(client, target, keys, undefined);
  const before = await platform.countBytes();
  const busyMs = await measureBusyTimeMs(async () => {
    for (let count = 0; count < RENEWAL_REPETITIONS; count++) {
      report = await renew(client, target, keys, report.clock);
    }
  });
  const after = await platform.countBytes();
  client.close();
  await platform.stop();
  return {
    sent: (after.toTargets - before.toTargets) / RENEWAL_REPETITIONS,
    received: (after.fromTargets - before.fromTargets) / RENEWAL_REPETITIONS,
    usage: Buffer.byteLength(JSON.stringify(keys.map(createUsage))),
    busyMs: busyMs / RENEWAL_REPETITIONS,
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
    await startLease(client, target, key);
    keys.push(key);
  }
  return keys;
}

async function startLease(
  client: HttpTargetClient,
  target: TargetAddress,
  key: LeaseKey,
): Promise<void> {
  const reservation = {
    ...key,
    term: TERM,
    workspace: 'workspace-17',
    firstTask: 0,
    tasks: TASKS_PER_ASSIGNMENT,
    accelerators: 0,
    processors: 1,
    memoryMb: 4096,
    checkpointable: true,
    ttlMs: TIMEOUT_MS,
  };
  const {grantedAt} = await client.reserve(target, reservation, TIMEOUT_MS);
  const startCommand = {
    ...key,
    term: TERM,
    grantedAt,
    leaseMs: LEASE_MS,
    progressSeconds: 0,
    payload: {durationMs: LEASE_MS},
  };
  await client.start(target, startCommand, TIMEOUT_MS);
}

function renew(
  client: HttpTargetClient,
  target: TargetAddress,
  leases: LeaseKey[],
  basedOn: number | undefined,
): Promise<TargetReport> {
  const renewal = {term: TERM, basedOn, leaseMs: LEASE_MS, leases, forget: []};
  return client.renew(target, renewal, TIMEOUT_MS);
}

function createUsage(key: LeaseKey): UsageReport {
  return {...key, processors: 3.87, memoryMb: 15_872};
}
