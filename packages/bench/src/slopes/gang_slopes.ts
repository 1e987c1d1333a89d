/** What starting a gang on many targets costs. */
import {HttpTargetClient} from '@galenavalve/platform';
import {SilentLogger, SystemClock} from '@galenavalve/shared';
import {type GangAttempt, GangStarter} from '@galenavalve/targets';
import {
  CLAIM_RECORD,
  TASKS_PER_ASSIGNMENT,
  createAssignments,
  createRequest,
} from './fixtures.js';
import {measureBusyTimeMs} from './measurement.js';
import {PlatformThread} from './platform_thread.js';
import {type Slope, measureSlopes} from './slope.js';

const PART_COUNTS = [1, 16, 32, 64, 128];
const TIMEOUT_MS = 5000;
const LEASE_MS = 60_000;

const titles = {
  wallMs: {
    id: 'gang-start',
    over: 'targets of one gang',
    measured: 'ms to reserve and start it',
  },
  busyMs: {
    id: 'gang-start-time',
    over: 'targets of one gang',
    measured: 'busy ms of the scheduler to reserve and start it',
  },
};

/** All slopes of starts. */
export async function measureGangStarts(): Promise<Slope[]> {
  return measureSlopes(titles, PART_COUNTS, measureGang);
}

async function measureGang(
  parts: number,
): Promise<Record<keyof typeof titles, number>> {
  const platform = await PlatformThread.start({targets: parts});
  const client = new HttpTargetClient();
  const clock = new SystemClock();
  const starter = new GangStarter({
    client,
    findAddress: id => ({
      id,
      endpoint: `${platform.urls.targets}/targets/${id}`,
    }),
    clock,
    logger: new SilentLogger(),
    options: {
      reservationTtlMs: TIMEOUT_MS,
      callTimeoutMs: TIMEOUT_MS,
      leaseMs: LEASE_MS,
    },
  });
  // The first gang opens the connections, which are open in daily work.
  await startGang(starter, createOrder(0, parts));
  const startedAt = clock.now();
  const busyMs = await measureBusyTimeMs(() =>
    startGang(starter, createOrder(1, parts)),
  );
  const wallMs = clock.now() - startedAt;
  client.close();
  await platform.stop();
  return {wallMs, busyMs};
}

async function startGang(
  starter: GangStarter,
  order: GangAttempt,
): Promise<void> {
  const reserved = await starter.reserve(order);
  if (reserved.kind !== 'reserved') {
    throw new Error('the gang was not reserved');
  }
  const started = await starter.start(order, () => undefined);
  if (started.kind !== 'started') {
    throw new Error('the gang was not started');
  }
}

function createOrder(index: number, parts: number): GangAttempt {
  const tasks = parts * TASKS_PER_ASSIGNMENT;
  const {workspace, gang} = createRequest(index, tasks);
  return {
    jobId: `job-${index}`,
    attempt: 1,
    term: CLAIM_RECORD.term,
    workspace,
    gang,
    assignments: createAssignments(tasks, 0),
    checkpointable: true,
    repeatable: true,
    payload: {durationMs: LEASE_MS},
    progressSeconds: 0,
  };
}
