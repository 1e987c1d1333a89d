/** Fixtures of the dispatcher's specs. */
import {
  DEFAULT_SETTINGS,
  Estimates,
  type JobRun,
  type Situation,
  TargetRoom,
  type UnitRun,
  createBooking,
  createJobRun,
} from '@galenavalve/dispatch';
import type {Step} from '@galenavalve/workload';

/** A step of a gang with usual values. */
export function createStep(values: Partial<Step> = {}): Step {
  return {
    count: 2,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 4},
    estimateMs: 4000,
    dependsOn: [],
    isGang: true,
    isRackSensitive: false,
    savesProgress: false,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
    ...values,
  };
}

/** A waiting job of one step. */
export function createJob(
  id: string,
  step: Step,
  values: {priority?: number; acceptedAt?: number; now?: number} = {},
): JobRun {
  const {priority = 1, acceptedAt = 0, now = acceptedAt} = values;
  const job = {
    queue: `queue-${priority}`,
    workspace: 'w',
    acceptedAt,
    terms: {
      pool: 'p',
      priority,
      maxAttempts: 3,
      stretch: priority === 0 ? 1.5 : 3,
      latencyMs: 250,
    },
    spec: {payload: '', steps: [step]},
  };
  return createJobRun({id, job, isCancelled: false}, now, now);
}

/** An open target with room for eight accelerators. */
export function createRoom(id: string, rack: string, now: number): TargetRoom {
  const room = new TargetRoom(
    {
      id,
      born: 1,
      address: 'a:1',
      pool: 'p',
      domain: 'd',
      rack,
      labels: [rack],
      capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
      isDraining: false,
    },
    0,
  );
  room.hasAnswered = true;
  room.lastAnswerAt = now;
  return room;
}

/** A run of a unit on a target, since `startedAt`. */
export function runOn(
  unit: UnitRun,
  room: TargetRoom,
  startedAt: number,
): void {
  unit.phase = 'running';
  unit.placedAt = startedAt;
  unit.runningSince = startedAt;
  unit.progress.run = 1;
  const booking = createBooking(
    {
      task: `${unit.job.id}.0.0.${unit.bookings.length}`,
      run: 1,
      demand: unit.step.demand,
      room,
      unit,
      memberIndex: unit.bookings.length,
      state: 'confirmed',
      epoch: 1,
    },
    startedAt,
  );
  unit.bookings.push(booking);
  room.book(booking);
}

/** What a decision is made from. */
export function createSituation(
  jobs: JobRun[],
  rooms: TargetRoom[],
  values: Partial<Situation> = {},
): Situation {
  return {
    jobs,
    rooms,
    estimates: new Estimates(),
    guarantees: new Map([['w', 64]]),
    evacuated: new Set(),
    settings: DEFAULT_SETTINGS,
    allowedFor: () => undefined,
    ...values,
  };
}
