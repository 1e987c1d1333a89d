/** Seeded faults against starting and keeping gangs. */
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

/** Something that goes wrong at a time. */
interface Incident {
  at: number;
  target: number;
  lengthMs: number;
  kind:
    | 'silent'
    | 'late'
    | 'answers-lost'
    | 'killed'
    | 'keeper-paused'
    | 'keeper-dies';
}

const incident: fc.Arbitrary<Incident> = fc.record({
  at: fc.integer({min: 0, max: 20_000}),
  target: fc.nat(MEMBERS - 1),
  lengthMs: fc.integer({min: 100, max: 15_000}),
  kind: fc.constantFrom(
    'silent',
    'late',
    'answers-lost',
    'killed',
    'keeper-paused',
    'keeper-dies',
  ),
});

/** A clock that can be stopped for one process while time goes on. */
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

function faultOf({kind, lengthMs}: Incident): TargetFault | undefined {
  switch (kind) {
    case 'silent':
      return {silent: true};
    case 'late':
      return {delayMs: lengthMs};
    case 'answers-lost':
      return {losesAnswers: true};
    default:
      return undefined;
  }
}

/** Runs one kept gang through the incidents; returns the longest partial run. */
async function runThrough(
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
  const keeperClock = new PausableClock(clock);
  const {keeper} = createLeaseRenewer(keeperClock, targets);
  const dead = new AbortController();
  const inject = async (item: Incident) => {
    await clock.sleep(item.at);
    const target = `t${item.target}`;
    if (item.kind === 'killed') {
      targets.kill(target);
    } else if (item.kind === 'keeper-paused') {
      keeperClock.pausedUntil = clock.now() + item.lengthMs;
    } else if (item.kind === 'keeper-dies') {
      dead.abort();
    } else {
      targets.setFault(target, faultOf(item));
      await clock.sleep(item.lengthMs);
      targets.setFault(target, undefined);
    }
  };
  const injected = incidents.map(inject);
  const order = createGangAttempt(MEMBERS);
  const starter = createStarter(clock, targets);
  const launch = async () => {
    const reserved = await starter.reserve(order);
    if (reserved.kind === 'refused' || dead.signal.aborted) {
      return;
    }
    const started = await starter.start(order, () => undefined);
    if (started.kind === 'started') {
      keeper.addGang(order);
      await keeper.run(dead.signal);
    }
  };
  void launch();
  await clock.advance(0);
  await clock.advance(END_MS);
  dead.abort();
  await clock.advance(0);
  await Promise.all(injected);
  targets.advance();
  return audit.measureLongestPartialRunMs(order, MEMBERS, clock.now());
}

t.test('no gang runs in part beyond the bound', async t => {
  t.test('whatever fails, for whichever time', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(incident, {maxLength: 5}), async incidents => {
        return (await runThrough(incidents)) <= BOUND_MS;
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  t.test('which the check finds broken without leases', async t => {
    const killed: Incident = {at: 5000, target: 1, lengthMs: 0, kind: 'killed'};
    t.ok((await runThrough([killed], {leases: false})) > BOUND_MS);
  });
});

/**
 * A scheduler starts a job while its successor fences the targets, stops what
 * it finds in part, and starts the job again unless it runs whole. Messages
 * go in any order. Returns whether tasks of both attempts ran at once.
 */
async function haveRivalsOverlapped(
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
  const first = createRivalOrder(1);
  const second = createRivalOrder(2);
  const predecessor = createStarter(clock, targets, 'i1');
  const successor = createStarter(clock, targets, 'i2');
  const reader = new TargetFencer({
    client: targets.createClient('i2'),
    findAddress: targets.findAddress,
    logger: new SilentLogger(),
    options: {callTimeoutMs: CALL_TIMEOUT_MS},
  });
  const precede = async () => {
    const {kind} = await predecessor.reserve(first);
    if (kind === 'reserved') {
      await predecessor.start(first, () => undefined);
    }
  };
  const succeed = async () => {
    const {reports} = await reader.fenceAll(targets.listIds(), second.term);
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
  await scheduler.waitFor(Promise.all([precede(), succeed()]));
  return hasOverlap(audit);
}

function createRivalOrder(attempt: number): GangAttempt {
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
  t.test('never run two attempts at once', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.scheduler(),
        async scheduler => !(await haveRivalsOverlapped(scheduler)),
      ),
      {seed: SEED, numRuns: 500},
    );
  });

  t.test('which the check finds broken without fencing', async t => {
    const found = await fc.check(
      fc.asyncProperty(fc.scheduler(), async scheduler => {
        const isBroken = await haveRivalsOverlapped(scheduler, {terms: false});
        return !isBroken;
      }),
      {seed: SEED, numRuns: 500},
    );
    t.ok(found.failed);
  });
});
