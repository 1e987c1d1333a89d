/**
 * Property tests of gang starts and renewals under seeded faults. They guard
 * against partial gangs that run beyond the bound, and against two attempts of a
 * job that run at the same time because an earlier scheduler was not fenced.
 */
import t from 'tap';
import fc from 'fast-check';
import {ManualClock, SilentLogger} from '@galenavalve/shared';
import {
  type GangAttempt,
  MemoryTargets,
  RunAudit,
  TargetFencer,
  type TargetFault,
  type TargetGuards,
  computeLongestPartialRunMs,
} from '../src/index.js';
import {
  CALL_TIMEOUT_MS,
  CAPACITY,
  LEASE_MS,
  RENEW_MS,
  createLeaseRenewer,
  createGangAttempt,
  createStarter,
  createTerm,
} from './fixtures.js';

const SEED = 20260;
const MEMBERS = 3;
const STOP_NOW = {checkpoint: false, graceMs: 0};
const END_MS = 60_000;
const BOUND_MS = computeLongestPartialRunMs({
  leaseMs: LEASE_MS,
  renewMs: RENEW_MS,
  callTimeoutMs: CALL_TIMEOUT_MS,
});

/** A fault that begins `at` milliseconds after the start and lasts `lengthMs`. */
interface Incident {
  at: number;
  target: number;
  lengthMs: number;
  kind:
    | 'unreachable'
    | 'delayed'
    | 'responses-lost'
    | 'killed'
    | 'renewer-paused'
    | 'renewer-killed';
}

const incident: fc.Arbitrary<Incident> = fc.record({
  at: fc.integer({min: 0, max: 20_000}),
  target: fc.nat(MEMBERS - 1),
  lengthMs: fc.integer({min: 100, max: 15_000}),
  kind: fc.constantFrom(
    'unreachable',
    'delayed',
    'responses-lost',
    'killed',
    'renewer-paused',
    'renewer-killed',
  ),
});

/** A clock of one process that can be paused while the base clock advances. */
class PausableClock extends ManualClock {
  pausedUntil = 0;

  constructor(private readonly base: ManualClock) {
    super();
  }

  override now(): number {
    return this.base.now();
  }

  override async sleep(duration: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(duration, signal);
    while (this.base.now() < this.pausedUntil) {
      await this.base.sleep(this.pausedUntil - this.base.now());
    }
  }
}

function createFault({kind, lengthMs}: Incident): TargetFault | undefined {
  switch (kind) {
    case 'unreachable':
      return {silent: true};
    case 'delayed':
      return {delayMs: lengthMs};
    case 'responses-lost':
      return {losesAnswers: true};
    default:
      return undefined;
  }
}

/**
 * Runs one gang with lease renewal through the incidents; returns the longest
 * partial run in milliseconds.
 */
async function runWithIncidents(
  incidents: readonly Incident[],
  guards: Partial<TargetGuards> = {},
): Promise<number> {
  const clock = new ManualClock(1000);
  const targets = new MemoryTargets(clock);
  const audit = new RunAudit();
  for (let i = 0; i < MEMBERS; i++) {
    targets.add({
      id: `t${i}`,
      capacity: CAPACITY,
      onRun: audit.addEvent,
      guards,
    });
  }
  const renewerClock = new PausableClock(clock);
  const {leaseRenewer} = createLeaseRenewer(renewerClock, targets);
  const killed = new AbortController();
  const inject = async (item: Incident) => {
    await clock.sleep(item.at);
    const target = `t${item.target}`;
    if (item.kind === 'killed') {
      targets.kill(target);
    } else if (item.kind === 'renewer-paused') {
      renewerClock.pausedUntil = clock.now() + item.lengthMs;
    } else if (item.kind === 'renewer-killed') {
      killed.abort();
    } else {
      targets.setFault(target, createFault(item));
      await clock.sleep(item.lengthMs);
      targets.setFault(target, undefined);
    }
  };
  const injected = incidents.map(inject);
  const gangAttempt = createGangAttempt(MEMBERS);
  const starter = createStarter(clock, targets);
  const launch = async () => {
    const reserved = await starter.reserve(gangAttempt);
    if (reserved.kind === 'refused' || killed.signal.aborted) {
      return;
    }
    const started = await starter.start(gangAttempt, () => undefined);
    if (started.kind === 'started') {
      leaseRenewer.addGang(gangAttempt);
      await leaseRenewer.run(killed.signal);
    }
  };
  void launch();
  await clock.advance(0);
  await clock.advance(END_MS);
  killed.abort();
  await clock.advance(0);
  await Promise.all(injected);
  targets.advance();
  return audit.measureLongestPartialRunMs(gangAttempt, MEMBERS, clock.now());
}

t.test('no gang runs partially beyond the bound', async t => {
  t.test('under any sequence of faults', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(incident, {maxLength: 5}), async incidents => {
        return (await runWithIncidents(incidents)) <= BOUND_MS;
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  t.test('which is violated without leases', async t => {
    const killed: Incident = {at: 5000, target: 1, lengthMs: 0, kind: 'killed'};
    t.ok((await runWithIncidents([killed], {leases: false})) > BOUND_MS);
  });
});

/**
 * Runs a scheduler that starts a job while its successor fences the targets, and
 * stops and restarts the job unless all of its members run. Messages are
 * delivered in any order. Returns whether tasks of both attempts ran at the same
 * time.
 */
async function haveAttemptsOverlapped(
  scheduler: fc.Scheduler,
  guards: Partial<TargetGuards> = {},
): Promise<boolean> {
  const clock = new ManualClock(1000);
  const targets = new MemoryTargets(clock, () =>
    scheduler.schedule(Promise.resolve()),
  );
  const audit = new RunAudit();
  for (let i = 0; i < MEMBERS; i++) {
    targets.add({
      id: `t${i}`,
      capacity: CAPACITY,
      onRun: audit.addEvent,
      guards,
    });
  }
  const first = createCompetingAttempt(1);
  const second = createCompetingAttempt(2);
  const predecessor = createStarter(clock, targets, 'i1');
  const successor = createStarter(clock, targets, 'i2');
  const fencer = new TargetFencer({
    client: targets.createClient('i2'),
    findAddress: targets.findAddress,
    logger: new SilentLogger(),
    options: {callTimeoutMs: CALL_TIMEOUT_MS},
  });
  const runPredecessor = async () => {
    const {kind} = await predecessor.reserve(first);
    if (kind === 'reserved') {
      await predecessor.start(first, () => undefined);
    }
  };
  const runSuccessor = async () => {
    const {reports} = await fencer.fenceAll(targets.listIds(), second.term);
    const leases = [...reports.values()].flatMap(report => report.leases);
    if (leases.filter(({state}) => state === 'running').length === MEMBERS) {
      return;
    }
    await successor.stop({...first, term: second.term}, STOP_NOW);
    const {kind} = await successor.reserve(second);
    if (kind === 'reserved') {
      await successor.start(second, () => undefined);
    }
  };
  await scheduler.waitFor(Promise.all([runPredecessor(), runSuccessor()]));
  return hasOverlap(audit);
}

function createCompetingAttempt(attempt: number): GangAttempt {
  const term = createTerm(attempt, `i${attempt}`);
  const {assignments} = createGangAttempt(MEMBERS);
  return createGangAttempt(MEMBERS, {
    attempt,
    term,
    assignments: assignments.map(item => ({...item, accelerators: attempt})),
  });
}

function hasOverlap(audit: RunAudit): boolean {
  const running = new Map([
    [1, 0],
    [2, 0],
  ]);
  return audit.listEvents().some(({attempt, kind}) => {
    const change = kind === 'started' ? 1 : -1;
    running.set(attempt, (running.get(attempt) ?? 0) + change);
    return [...running.values()].every(count => count > 0);
  });
}

t.test('a scheduler and its successor', async t => {
  t.test('never run two attempts at the same time', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        async scheduler => !(await haveAttemptsOverlapped(scheduler)),
      ),
      {seed: SEED, numRuns: 500},
    );
  });

  t.test('which is violated without fencing', async t => {
    const found = await fc.check(
      fc.asyncProperty(fc.scheduler(), async scheduler => {
        const hasOverlapped = await haveAttemptsOverlapped(scheduler, {
          terms: false,
        });
        return !hasOverlapped;
      }),
      {seed: SEED, numRuns: 500},
    );
    t.ok(found.failed);
  });
});
