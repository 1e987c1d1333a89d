/** Fixtures for the specs of this package. */
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

/** Creates targets t0, t1, ... with a manual clock and a list of all run events. */
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

/** Creates a gang attempt with one task on each of the first `members` targets. */
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

/** Creates a gang starter that reaches the targets as `caller`. */
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

/** Creates a lease renewer with term 1, and collects its events. */
export function createLeaseRenewer(
  clock: ManualClock,
  targets: MemoryTargets,
  options: Partial<LeaseRenewerOptions> = {},
  client: TargetClient = targets.createClient('i1'),
) {
  const leaseRenewer = new LeaseRenewer({
    client,
    findAddress: targets.findAddress,
    clock,
    logger: new SilentLogger(),
    options: {
      leaseMs: LEASE_MS,
      renewMs: RENEW_MS,
      callTimeoutMs: CALL_TIMEOUT_MS,
      ...options,
    },
  });
  const events: LeaseRenewerEvent[] = [];
  leaseRenewer.onEvent(event => events.push(event));
  leaseRenewer.setTerm(createTerm(1));
  return {leaseRenewer, events};
}
