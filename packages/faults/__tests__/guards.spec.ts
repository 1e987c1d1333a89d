/**
 * Shows for each safeguard that its promise holds with it, and that the checks
 * detect the violation without it.
 */
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

/** Runs a sequence of events and returns the violations found at its end. */
type Scenario = (cluster: SimulatedCluster) => Promise<Violation[]>;

const START_COMMANDS = new Set(['start' as const]);
const STOP_COMMANDS = new Set(['stop' as const]);

/** Creates a cluster in which both domains have a scheduler. */
async function createCluster(
  guards: Partial<Guards>,
): Promise<SimulatedCluster> {
  const cluster = new SimulatedCluster(1, {...ALL_GUARDS, ...guards});
  await cluster.advance(3000);
  return cluster;
}

function check(cluster: SimulatedCluster): Violation[] {
  return new PromiseChecker().check(cluster);
}

/** Submits a job to the first domain and waits until its placement is in the log. */
async function placeJob(
  cluster: SimulatedCluster,
  changes: Record<string, unknown>,
) {
  cluster.configure([createDomain('d2', 'out')]);
  await cluster.advance(1000);
  const request = createRequest('r1', cluster.clock.wallTime(), changes);
  void cluster.submit(request, ['d1-i1']);
  for (let i = 0; i < 100; i++) {
    await cluster.advance(50);
    const job = cluster.observer.getJobByRequest('r1');
    if (job?.phase === 'placed' || job?.phase === 'running') {
      return {
        job,
        scheduler: cluster.observer.getSchedulerTerm('d1')!.instance,
      };
    }
  }
  throw new Error('the job was not placed within 5 s of virtual time');
}

/**
 * Kills a scheduler while its start command is delayed, and keeps the other
 * instances from the target, so that the successor cannot see the start.
 */
async function delayStart(cluster: SimulatedCluster) {
  for (const id of listTargets()) {
    cluster.targets.setFault(id, {delayMs: 12_000, commands: START_COMMANDS});
  }
  const {job, scheduler} = await placeJob(cluster, {
    payload: {durationMs: 30_000},
  });
  cluster.instances.get(scheduler)?.kill();
  const others = [...cluster.instances.keys()].filter(
    name => name !== scheduler,
  );
  for (const id of listTargets()) {
    const isMember = job.assignments.some(({target}) => target === id);
    cluster.targets.setFault(
      id,
      isMember ? {cutFrom: new Set(others)} : undefined,
    );
  }
}

const loseGangMember: Scenario = async cluster => {
  const {job} = await placeJob(cluster, {
    gang: {tasks: 2, perTask: {accelerators: 8}},
    payload: {durationMs: 60_000},
  });
  await cluster.advance(2000);
  const [first, second] = job.assignments;
  cluster.targets.setFault(first!.target, {silent: true});
  cluster.targets.kill(second!.target);
  await cluster.advance(20_000);
  return check(cluster);
};

const delayStartBeyondTakeover: Scenario = async cluster => {
  await delayStart(cluster);
  await cluster.advance(20_000);
  return check(cluster);
};

const delayStartBeyondTakeOut: Scenario = async cluster => {
  await delayStart(cluster);
  cluster.configure([createDomain('d1', 'out')]);
  await cluster.advance(20_000);
  return check(cluster);
};

const claimWhileStarting: Scenario = async cluster => {
  for (const id of listTargets()) {
    cluster.targets.setFault(id, {delayMs: 1200, commands: START_COMMANDS});
  }
  const {scheduler} = await placeJob(cluster, {
    repeatable: false,
    payload: {durationMs: 30_000},
  });
  for (const id of listTargets()) {
    cluster.targets.setFault(id, {silent: true, commands: STOP_COMMANDS});
  }
  const rival = scheduler === 'd1-i1' ? 'd1-i2' : 'd1-i1';
  void cluster.instances.get(rival)?.claim();
  await cluster.advance(10_000);
  return check(cluster);
};

const submitToLeavingTargets: Scenario = async cluster => {
  listTargets().forEach(id => cluster.setLeaving(id, true));
  await cluster.advance(100);
  void cluster.submit(createRequest('r1', cluster.clock.wallTime()), ['d1-i1']);
  await cluster.advance(5000);
  return check(cluster);
};

const restartInstance: Scenario = async cluster => {
  const checker = new PromiseChecker();
  checker.check(cluster);
  cluster.instances.get('d1-i1')?.kill();
  cluster.startInstance('d1-i1');
  return checker.check(cluster);
};

const loseResponseAtOneEntry: Scenario = cluster =>
  loseAppendResponse(cluster, ['d1-i1']);

/** Loses the response to the append of a submission and starts a log outage right after it. */
async function loseAppendResponse(
  cluster: SimulatedCluster,
  entries: readonly string[],
): Promise<Violation[]> {
  // Leaves the entry's read pending, so that it does not see its append take effect.
  cluster.log.faults.outage = 'silent';
  await cluster.advance(1000);
  cluster.log.faults.outage = 'none';
  cluster.log.faults.lostAnswers = 1;
  void cluster.submit(createRequest('r1', cluster.clock.wallTime()), entries);
  await cluster.advance(50);
  cluster.log.faults.outage = 'refused';
  await cluster.advance(9000 * entries.length);
  cluster.log.faults.outage = 'none';
  await cluster.advance(20_000);
  return check(cluster);
}

const killSchedulers: Scenario = async cluster => {
  for (const domain of ['d1', 'd2']) {
    const scheduler = cluster.observer.getSchedulerTerm(domain)?.instance;
    cluster.instances.get(scheduler ?? '')?.kill();
  }
  const [entry] = cluster.listServingInstances();
  void cluster.submit(createRequest('r1', cluster.clock.wallTime()), [entry!]);
  await cluster.advance(60_000);
  return checkTermination(cluster);
};

/** Name of the safeguard, promise that it protects, scenario that violates it otherwise, and the changed safeguards. */
const CASES: readonly [string, PromiseName, Scenario, Partial<Guards>][] = [
  ['leases', 'no-gang-in-part', loseGangMember, {targets: {leases: false}}],
  [
    'reservations and leases',
    'no-overlapping-attempts',
    delayStartBeyondTakeover,
    {targets: {reservations: false, leases: false}},
  ],
  [
    'short reservations',
    'no-start-after-take-out',
    delayStartBeyondTakeOut,
    {reservationMs: 60_000},
  ],
  ['terms', 'at-most-once', claimWhileStarting, {targets: {terms: false}}],
  [
    'refusals by leaving targets',
    'no-work-on-leaving-target',
    submitToLeavingTargets,
    {targets: {leaving: false}},
  ],
  ['catch-up', 'versions-never-fall', restartInstance, {catchUp: false}],
  [
    'accurate log errors',
    'true-not-run',
    loseResponseAtOneEntry,
    {accurateLogErrors: false},
  ],
  [
    'scheduler takeover',
    'every-request-ends',
    killSchedulers,
    {succession: false},
  ],
  ['reclaim', 'reclaim', checkReclaim, {guarantees: false}],
];

for (const [name, promise, scenario, guards] of CASES) {
  t.test(`${promise} holds with ${name}`, async t => {
    t.same(await scenario(await createCluster({})), []);
  });

  t.test(`${promise} is violated without ${name}`, async t => {
    const violations = await scenario(await createCluster(guards));
    t.ok(violations.some(violation => violation.promise === promise));
  });
}

t.test(
  'an entry reports "not run" only if no other entry recorded the request',
  async t => {
    const cluster = await createCluster({});
    t.same(await loseAppendResponse(cluster, ['d1-i1', 'd2-i1']), []);
  },
);
