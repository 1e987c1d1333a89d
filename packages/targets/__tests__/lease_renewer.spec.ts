import t from 'tap';
import type {
  GangAttempt,
  LeaseRenewerEvent,
  LeaseRenewerOptions,
  RunEvent,
} from '../src/index.js';
import {
  CALL_TIMEOUT_MS,
  CAPACITY,
  LEASE_MS,
  createLeaseRenewer,
  createGangAttempt,
  createStarter,
  createTargets,
} from './fixtures.js';

/** A gang on three targets that runs and is kept. */
async function runGang(
  changes: Partial<GangAttempt> = {},
  times: Partial<LeaseRenewerOptions> = {},
) {
  const {clock, targets, runs} = createTargets(3);
  const starter = createStarter(clock, targets);
  const order = createGangAttempt(3, changes);
  await starter.reserve(order);
  await starter.start(order, () => undefined);
  const {keeper, events} = createLeaseRenewer(clock, targets, times);
  keeper.addGang(order);
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void keeper.run(stop.signal);
  await clock.advance(0);
  return {clock, targets, runs, order, keeper, events, stop};
}

function endsOf(runs: readonly RunEvent[]): number[] {
  return runs.filter(run => run.kind === 'ended').map(run => run.at);
}

function kindsOf(events: readonly LeaseRenewerEvent[]): string[] {
  return events.map(event => event.kind).filter(kind => kind !== 'usage');
}

t.test('a kept gang', async t => {
  t.test('runs on beyond its first lease, and gives all results', async t => {
    const {clock, events} = await runGang({payload: {durationMs: 20_000}});
    await clock.advance(25_000);
    const succeeded = events.find(event => event.kind === 'succeeded');
    t.match(succeeded, {jobId: 'job1', results: [0, 1, 2], ranSeconds: 20});
  });

  t.test('keeps its results until they are forgotten', async t => {
    const {clock, targets, order, keeper} = await runGang({
      payload: {durationMs: 1000},
    });
    await clock.advance(60_000);
    t.equal(targets.getModel('t0').report(clock.now()).leases.length, 1);
    keeper.acknowledgeEnd(order.jobId, order.attempt);
    keeper.removeGang(order.jobId);
    await clock.advance(3000);
    t.same(targets.getModel('t0').report(clock.now()).leases, []);
  });

  t.test('survives a silence shorter than its lease', async t => {
    const {clock, targets, runs, events} = await runGang();
    await clock.advance(5000);
    const firstAnswers = kindsOf(events).length;
    targets.setFault('t1', {silent: true});
    await clock.advance(2000);
    targets.setFault('t1', undefined);
    await clock.advance(20_000);
    t.same(endsOf(runs), []);
    t.same(kindsOf(events).slice(firstAnswers), [
      'target-silent',
      'target-answering',
    ]);
  });

  t.test('ends in all members soon after one has died', async t => {
    const {clock, targets, runs, events} = await runGang();
    await clock.advance(5000);
    const diedAt = clock.now();
    targets.kill('t1');
    await clock.advance(60_000);
    targets.advance();
    t.match(
      events.find(event => event.kind === 'member-lost'),
      {culprit: 't1'},
    );
    t.equal(endsOf(runs).length, 3);
    const bound = diedAt + LEASE_MS + 2 * CALL_TIMEOUT_MS;
    t.ok(Math.max(...endsOf(runs)) <= bound);
  });

  t.test('is lost when a target comes back without it', async t => {
    const {clock, targets, events} = await runGang();
    await clock.advance(5000);
    targets.kill('t1');
    targets.recover('t1');
    await clock.advance(3000);
    t.match(
      events.find(event => event.kind === 'member-lost'),
      {culprit: 't1'},
    );
  });

  t.test('is kept while another target is silent for long', async t => {
    const slow = {renewMs: 1000, callTimeoutMs: 1100};
    const {clock, targets, runs, keeper} = await runGang({}, slow);
    targets.add({id: 'idle', capacity: CAPACITY});
    const [part] = createGangAttempt(1).assignments;
    const assignments = [{...part!, target: 'idle'}];
    keeper.addGang(createGangAttempt(1, {jobId: 'job2', assignments}));
    targets.setFault('idle', {silent: true});
    await clock.advance(30_000);
    targets.advance();
    t.same(endsOf(runs), []);
  });

  t.test('names the task that failed', async t => {
    const {clock, events} = await runGang({
      payload: {durationMs: 3000, fail: 2},
    });
    await clock.advance(6000);
    t.match(
      events.find(event => event.kind === 'failed'),
      {culprit: 't2', task: 2},
    );
  });

  t.test('is read again after a pause, and not renewed in part', async t => {
    const {clock, targets, runs, order, keeper, events, stop} = await runGang();
    await clock.advance(5000);
    stop.abort();
    await clock.advance(LEASE_MS + 2000);
    await keeper.runRound();
    targets.advance();
    t.equal(endsOf(runs).length, 3);
    t.match(events.at(-1), {kind: 'member-lost', jobId: order.jobId});
  });
});

t.test('a renewal has the same size for one lease and for many', async t => {
  const sizes = await Promise.all([1, 23].map(measureRound));
  t.equal(sizes[0], sizes[1]);
  t.ok(Number(sizes[1]) < 500);
});

/** Bytes of one renewal and its answer, as JSON, with so many gangs on one target. */
async function measureRound(gangs: number): Promise<number> {
  const {clock, targets} = createTargets(1);
  const starter = createStarter(clock, targets);
  const client = targets.createClient('i1');
  let bytes = 0;
  const {keeper} = createLeaseRenewer(
    clock,
    targets,
    {},
    {
      ...client,
      renew: async (...call) => {
        const report = await client.renew(...call);
        bytes = JSON.stringify([call[1], report]).length;
        return report;
      },
    },
  );
  for (let i = 0; i < gangs; i++) {
    const order = createGangAttempt(1, {
      jobId: `job${i}`,
      assignments: [{target: 't0', firstTask: 0, tasks: 1, accelerators: 0}],
    });
    await starter.reserve(order);
    await starter.start(order, () => undefined);
    keeper.addGang(order);
  }
  for (let round = 0; round < 3; round++) {
    await clock.advance(1000);
    await keeper.runRound();
  }
  return bytes;
}

t.test('an idle target is asked, and tells that it leaves', async t => {
  const {clock, targets} = createTargets(1);
  const {keeper, events} = createLeaseRenewer(clock, targets);
  keeper.setPolledTargets(['t0']);
  await keeper.runRound();
  targets.getModel('t0').leaving = true;
  await clock.advance(10_000);
  await keeper.runRound();
  t.same(events, [
    {kind: 'target-answering', target: 't0'},
    {kind: 'target-staying', target: 't0'},
    {kind: 'target-leaving', target: 't0'},
  ]);
});
