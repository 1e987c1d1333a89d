/** Measures the cost of starting a gang, by its number of targets. */
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

const ASSIGNMENT_COUNTS = [1, 16, 32, 64, 128];
const TIMEOUT_MS = 5000;
const LEASE_MS = 60_000;

const TITLES = {
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

/** Measures all slopes of gang starts. */
export async function measureGangStarts(): Promise<Slope[]> {
  return measureSlopes(TITLES, ASSIGNMENT_COUNTS, measureGang);
}

async function measureGang(
  targetCount: number,
): Promise<Record<keyof typeof TITLES, number>> {
  const platform = await PlatformThread.start({targets: targetCount});
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
  // Warm-up: the first gang opens the connections, which are already open in regular operation.
  await startGang(starter, createAttempt(0, targetCount));
  const startedAt = clock.now();
  const busyMs = await measureBusyTimeMs(() =>
    startGang(starter, createAttempt(1, targetCount)),
  );
  const wallMs = clock.now() - startedAt;
  client.close();
  await platform.stop();
  return {wallMs, busyMs};
}

async function startGang(
  starter: GangStarter,
  attempt: GangAttempt,
): Promise<void> {
  const reserved = await starter.reserve(attempt);
  if (reserved.kind !== 'reserved') {
    throw new Error('the targets did not grant the reservation of the gang');
  }
  const started = await starter.start(attempt, () => undefined);
  if (started.kind !== 'started') {
    throw new Error('the targets did not start the gang');
  }
}

function createAttempt(index: number, targetCount: number): GangAttempt {
  const tasks = targetCount * TASKS_PER_ASSIGNMENT;
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
