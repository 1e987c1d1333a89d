/** Fixtures of the specs of this package. */
import {type Term, gangShape} from '@galenavalve/model';
import {ManualClock, SilentLogger} from '@galenavalve/shared';
import {
  type GangAttempt,
  GangStarter,
  type LeaseRenewerEvent,
  LeaseRenewer,
  type LeaseRenewerOptions,
  MemoryTargets,
  type RunEvent,
  type TargetClient,
} from '../src/index.js';

export const CALL_TIMEOUT_MS = 500;
export const LEASE_MS = 6000;
export const RENEW_MS = 2000;
export const RESERVATION_TTL_MS = 2000;

export const CAPACITY = {
  slots: 64,
  accelerators: 8,
  processors: 64,
  memoryMb: 131_072,
};

export function createTerm(log: number, instance = 'i1'): Term {
  return {log, outage: 0, instance};
}

/** Targets t0, t1, ... with a clock and a record of all runs. */
export function createTargets(count: number) {
  const clock = new ManualClock(1000);
  const targets = new MemoryTargets(clock);
  const runs: RunEvent[] = [];
  const onRun = (event: RunEvent) => void runs.push(event);
  for (let i = 0; i < count; i++) {
    targets.add({id: `t${i}`, capacity: CAPACITY, onRun});
  }
  return {clock, targets, runs};
}

/** A gang with one task on each of the first `members` targets. */
export function createGangAttempt(
  members: number,
  changes: Partial<GangAttempt> = {},
): GangAttempt {
  return {
    jobId: 'job1',
    attempt: 1,
    term: createTerm(1),
    workspace: 'escorts',
    gang: gangShape.parse({tasks: members, perTask: {accelerators: 8}}),
    assignments: Array.from({length: members}, (_, i) => ({
      target: `t${i}`,
      firstTask: i,
      tasks: 1,
      accelerators: 255,
    })),
    checkpointable: true,
    repeatable: true,
    payload: {durationMs: 60_000},
    progressSeconds: 0,
    ...changes,
  };
}

export function createStarter(
  clock: ManualClock,
  targets: MemoryTargets,
  caller = 'i1',
): GangStarter {
  return new GangStarter({
    client: targets.createClient(caller),
    findAddress: targets.findAddress,
    clock,
    logger: new SilentLogger(),
    options: {
      reservationTtlMs: RESERVATION_TTL_MS,
      callTimeoutMs: CALL_TIMEOUT_MS,
      leaseMs: LEASE_MS,
    },
  });
}

export function createLeaseRenewer(
  clock: ManualClock,
  targets: MemoryTargets,
  times: Partial<LeaseRenewerOptions> = {},
  client: TargetClient = targets.createClient('i1'),
) {
  const keeper = new LeaseRenewer({
    client,
    findAddress: targets.findAddress,
    clock,
    logger: new SilentLogger(),
    options: {
      leaseMs: LEASE_MS,
      renewMs: RENEW_MS,
      callTimeoutMs: CALL_TIMEOUT_MS,
      ...times,
    },
  });
  const events: LeaseRenewerEvent[] = [];
  keeper.onEvent(event => events.push(event));
  keeper.setTerm(createTerm(1));
  return {keeper, events};
}
