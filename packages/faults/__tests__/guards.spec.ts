/** Each check holds with its guard, and finds what happens without. */
import t from 'tap';
import {
  ALL_GUARDS,
  type Guards,
  PromiseChecker,
  type PromiseName,
  type Violation,
  SimulatedCluster,
  checkTermination,
  checkReclaim,
  createDomain,
  createRequest,
  listTargets,
} from '../src/index.js';

t.setTimeout(0);

/** What happens, and what the checks say at its end. */
type Scenario = (world: SimulatedCluster) => Promise<Violation[]>;

const START = new Set(['start' as const]);
const STOP = new Set(['stop' as const]);

/** A world in which both domains have a scheduler. */
async function createWorld(guards: Partial<Guards>): Promise<SimulatedCluster> {
  const world = new SimulatedCluster(1, {...ALL_GUARDS, ...guards});
  await world.advance(3000);
  return world;
}

function check(world: SimulatedCluster): Violation[] {
  return new PromiseChecker().check(world);
}

/** Submits a job to the first domain, and waits until the log holds its placement. */
async function place(
  world: SimulatedCluster,
  changes: Record<string, unknown>,
) {
  world.configure([createDomain('d2', 'out')]);
  await world.advance(1000);
  const request = createRequest('r1', world.clock.wallTime(), changes);
  void world.submit(request, ['d1-i1']);
  for (let i = 0; i < 100; i++) {
    await world.advance(50);
    const job = world.observer.getJobByRequest('r1');
    if (job?.phase === 'placed' || job?.phase === 'running') {
      return {job, holder: world.observer.getSchedulerTerm('d1')!.instance};
    }
  }
  throw new Error('the job was not placed');
}

/** A start that is on its way when its scheduler dies, and that the successor cannot see. */
async function delayStart(world: SimulatedCluster) {
  for (const id of listTargets()) {
    world.targets.setFault(id, {delayMs: 12_000, commands: START});
  }
  const {job, holder} = await place(world, {payload: {durationMs: 30_000}});
  world.instances.get(holder)?.kill();
  const others = [...world.instances.keys()].filter(name => name !== holder);
  for (const id of listTargets()) {
    const isMember = job.assignments.some(({target}) => target === id);
    world.targets.setFault(
      id,
      isMember ? {cutFrom: new Set(others)} : undefined,
    );
  }
}

const partOfGang: Scenario = async world => {
  const {job} = await place(world, {
    gang: {tasks: 2, perTask: {accelerators: 8}},
    payload: {durationMs: 60_000},
  });
  await world.advance(2000);
  const [first, second] = job.assignments;
  world.targets.setFault(first!.target, {silent: true});
  world.targets.kill(second!.target);
  await world.advance(20_000);
  return check(world);
};

const lateStart: Scenario = async world => {
  await delayStart(world);
  await world.advance(20_000);
  return check(world);
};

const takeOut: Scenario = async world => {
  await delayStart(world);
  world.configure([createDomain('d1', 'out')]);
  await world.advance(20_000);
  return check(world);
};

const rivals: Scenario = async world => {
  for (const id of listTargets()) {
    world.targets.setFault(id, {delayMs: 1200, commands: START});
  }
  const {holder} = await place(world, {
    repeatable: false,
    payload: {durationMs: 30_000},
  });
  for (const id of listTargets()) {
    world.targets.setFault(id, {silent: true, commands: STOP});
  }
  const rival = holder === 'd1-i1' ? 'd1-i2' : 'd1-i1';
  void world.instances.get(rival)?.claim();
  await world.advance(10_000);
  return check(world);
};

const leaving: Scenario = async world => {
  listTargets().forEach(id => world.setLeaving(id, true));
  await world.advance(100);
  void world.submit(createRequest('r1', world.clock.wallTime()), ['d1-i1']);
  await world.advance(5000);
  return check(world);
};

const restart: Scenario = async world => {
  const book = new PromiseChecker();
  book.check(world);
  world.instances.get('d1-i1')?.kill();
  world.startInstance('d1-i1');
  return book.check(world);
};

const lostAnswer: Scenario = world => loseAnswer(world, ['d1-i1']);

/** The log loses the answer to a submission, and has an outage right after it. */
async function loseAnswer(
  world: SimulatedCluster,
  entries: readonly string[],
): Promise<Violation[]> {
  // The entry's read is still without an answer when its append takes effect.
  world.log.faults.outage = 'silent';
  await world.advance(1000);
  world.log.faults.outage = 'none';
  world.log.faults.lostAnswers = 1;
  void world.submit(createRequest('r1', world.clock.wallTime()), entries);
  await world.advance(50);
  world.log.faults.outage = 'refused';
  await world.advance(9000 * entries.length);
  world.log.faults.outage = 'none';
  await world.advance(20_000);
  return check(world);
}

const deadSchedulers: Scenario = async world => {
  for (const domain of ['d1', 'd2']) {
    const holder = world.observer.getSchedulerTerm(domain)?.instance;
    world.instances.get(holder ?? '')?.kill();
  }
  const [entry] = world.listServingInstances();
  void world.submit(createRequest('r1', world.clock.wallTime()), [entry!]);
  await world.advance(60_000);
  return checkTermination(world);
};

/** By guard: what it protects, what goes wrong, and the world without it. */
const CASES: readonly [string, PromiseName, Scenario, Partial<Guards>][] = [
  ['leases', 'no-gang-in-part', partOfGang, {targets: {leases: false}}],
  [
    'reservations and leases',
    'no-overlapping-attempts',
    lateStart,
    {targets: {reservations: false, leases: false}},
  ],
  [
    'short reservations',
    'no-start-after-take-out',
    takeOut,
    {reservationMs: 60_000},
  ],
  ['terms', 'at-most-once', rivals, {targets: {terms: false}}],
  [
    'targets that refuse when they leave',
    'no-work-on-leaving-target',
    leaving,
    {targets: {leaving: false}},
  ],
  ['catching up', 'versions-never-fall', restart, {catchUp: false}],
  ['an honest log', 'true-not-run', lostAnswer, {accurateLogErrors: false}],
  ['succession', 'every-request-ends', deadSchedulers, {succession: false}],
  ['reclaim', 'reclaim', checkReclaim, {guarantees: false}],
];

for (const [name, promise, scenario, guards] of CASES) {
  t.test(`${promise} holds with ${name}`, async t => {
    t.same(await scenario(await createWorld({})), []);
  });

  t.test(`${promise} is seen broken without ${name}`, async t => {
    const violations = await scenario(await createWorld(guards));
    t.ok(violations.some(violation => violation.promise === promise));
  });
}

t.test(
  'an entry says "not run" only of what no other entry recorded',
  async t => {
    const world = await createWorld({});
    t.same(await loseAnswer(world, ['d1-i1', 'd2-i1']), []);
  },
);
