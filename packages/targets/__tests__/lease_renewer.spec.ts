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

/** Starts a gang on three targets and renews its leases. */
async function runGang(
  changes: Partial<GangAttempt> = {},
  options: Partial<LeaseRenewerOptions> = {},
) {
  const {clock, targets, runs} = createTargets(3);
  const starter = createStarter(clock, targets);
  const gangAttempt = createGangAttempt(3, changes);
  await starter.reserve(gangAttempt);
  await starter.start(gangAttempt, () => undefined);
  const {leaseRenewer, events} = createLeaseRenewer(clock, targets, options);
  leaseRenewer.addGang(gangAttempt);
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  void leaseRenewer.run(stop.signal);
  await clock.advance(0);
  return {clock, targets, runs, gangAttempt, leaseRenewer, events, stop};
}

function listEndTimes(runs: readonly RunEvent[]): number[] {
  return runs.filter(run => run.kind === 'ended').map(run => run.at);
}

function listEventKinds(events: readonly LeaseRenewerEvent[]): string[] {
  return events.map(event => event.kind).filter(kind => kind !== 'usage');
}

t.test('a gang whose leases are renewed', async t => {
  t.test('runs beyond its first lease, and returns all results', async t => {
    const {clock, events} = await runGang({payload: {durationMs: 20_000}});
    await clock.advance(25_000);
    const succeeded = events.find(event => event.kind === 'succeeded');
    t.match(succeeded, {jobId: 'job1', results: [0, 1, 2], ranSeconds: 20});
  });

  t.test('keeps its results until its end is acknowledged', async t => {
    const {clock, targets, gangAttempt, leaseRenewer} = await runGang({
      payload: {durationMs: 1000},
    });
    await clock.advance(60_000);
    t.equal(targets.getModel('t0').report(clock.now()).leases.length, 1);
    leaseRenewer.acknowledgeEnd(gangAttempt.jobId, gangAttempt.attempt);
    leaseRenewer.removeGang(gangAttempt.jobId);
    await clock.advance(3000);
    t.same(targets.getModel('t0').report(clock.now()).leases, []);
  });

  t.test('survives a target unreachable for less than its lease', async t => {
    const {clock, targets, runs, events} = await runGang();
    await clock.advance(5000);
    const firstEventCount = listEventKinds(events).length;
    targets.setFault('t1', {silent: true});
    await clock.advance(2000);
    targets.setFault('t1', undefined);
    await clock.advance(20_000);
    t.same(listEndTimes(runs), []);
    t.same(listEventKinds(events).slice(firstEventCount), [
      'target-silent',
      'target-answering',
    ]);
  });

  t.test('ends on all members soon after one has died', async t => {
    const {clock, targets, runs, events} = await runGang();
    await clock.advance(5000);
    const killedAt = clock.now();
    targets.kill('t1');
    await clock.advance(60_000);
    targets.advance();
    t.match(
      events.find(event => event.kind === 'member-lost'),
      {culprit: 't1'},
    );
    t.equal(listEndTimes(runs).length, 3);
    const bound = killedAt + LEASE_MS + 2 * CALL_TIMEOUT_MS;
    t.ok(Math.max(...listEndTimes(runs)) <= bound);
  });

  t.test('is lost when a target restarts without it', async t => {
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

  t.test('is renewed while another target is unreachable for long', async t => {
    const slow = {renewMs: 1000, callTimeoutMs: 1100};
    const {clock, targets, runs, leaseRenewer} = await runGang({}, slow);
    targets.add({id: 'idle', capacity: CAPACITY});
    const [assignment] = createGangAttempt(1).assignments;
    const assignments = [{...assignment!, target: 'idle'}];
    leaseRenewer.addGang(createGangAttempt(1, {jobId: 'job2', assignments}));
    targets.setFault('idle', {silent: true});
    await clock.advance(30_000);
    targets.advance();
    t.same(listEndTimes(runs), []);
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

  t.test(
    'is polled again after a pause, and not renewed partially',
    async t => {
      const {clock, targets, runs, gangAttempt, leaseRenewer, events, stop} =
        await runGang();
      await clock.advance(5000);
      stop.abort();
      await clock.advance(LEASE_MS + 2000);
      await leaseRenewer.runRound();
      targets.advance();
      t.equal(listEndTimes(runs).length, 3);
      t.match(events.at(-1), {kind: 'member-lost', jobId: gangAttempt.jobId});
    },
  );
});

t.test('a renewal has the same size for one lease and for many', async t => {
  const sizes = await Promise.all([1, 23].map(measureRenewalBytes));
  t.equal(sizes[0], sizes[1]);
  t.ok(Number(sizes[1]) < 500);
});

/** Returns the bytes of one renewal and its response, as JSON, with `gangs` gangs on one target. */
async function measureRenewalBytes(gangs: number): Promise<number> {
  const {clock, targets} = createTargets(1);
  const starter = createStarter(clock, targets);
  const client = targets.createClient('i1');
  let bytes = 0;
  const {leaseRenewer} = createLeaseRenewer(
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
    const gangAttempt = createGangAttempt(1, {
      jobId: `job${i}`,
      assignments: [{target: 't0', firstTask: 0, tasks: 1, accelerators: 0}],
    });
    await starter.reserve(gangAttempt);
    await starter.start(gangAttempt, () => undefined);
    leaseRenewer.addGang(gangAttempt);
  }
  for (let round = 0; round < 3; round++) {
    await clock.advance(1000);
    await leaseRenewer.runRound();
  }
  return bytes;
}

t.test('an idle target is polled and reported as leaving', async t => {
  const {clock, targets} = createTargets(1);
  const {leaseRenewer, events} = createLeaseRenewer(clock, targets);
  leaseRenewer.setPolledTargets(['t0']);
  await leaseRenewer.runRound();
  targets.getModel('t0').leaving = true;
  await clock.advance(10_000);
  await leaseRenewer.runRound();
  t.same(events, [
    {kind: 'target-answering', target: 't0'},
    {kind: 'target-staying', target: 't0'},
    {kind: 'target-leaving', target: 't0'},
  ]);
});
