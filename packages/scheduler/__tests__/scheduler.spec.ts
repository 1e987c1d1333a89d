import t from 'tap';
import {
  LEASE_MS,
  type Instance,
  type TestCluster,
  advanceUntil,
  appendDirectly,
  claim,
  createInstance,
  createTestCluster,
  setDomainState,
  submit,
} from './fixtures.js';
import {createReason} from '@galenavalve/model';

const finished = (instance: Instance, jobId: string) => () =>
  instance.state.getJob(jobId)?.phase === 'finished';
const running = (instance: Instance, jobId: string) => () =>
  instance.state.getJob(jobId)?.phase === 'running';
const startsOf = (world: TestCluster, jobId: string) =>
  world.runs.filter(run => run.jobId === jobId && run.kind === 'started');

async function createScheduled(targetCount = 2) {
  const world = createTestCluster(targetCount);
  const instance = createInstance(world, 'a');
  await claim(world, instance);
  return {world, instance};
}

t.test('a gang', async t => {
  t.test('runs whole and its caller gets the whole answer', async t => {
    const {world, instance} = await createScheduled();
    const jobId = submit(world, 'r1');
    t.ok(await advanceUntil(world, finished(instance, jobId)));
    const job = instance.state.getJob(jobId)!;
    t.equal(job.outcome, 'succeeded');
    t.strictSame(job.results, ['r1', 'r1']);
    t.equal(startsOf(world, jobId).length, 2);
  });

  t.test('does not start when one of its targets is silent', async t => {
    const {world, instance} = await createScheduled();
    world.targets.setFault('t2', {silent: true});
    const jobId = submit(world, 'r1');
    await advanceUntil(world, () => false, 10_000);
    t.equal(startsOf(world, jobId).length, 0);
    t.equal(instance.state.getJob(jobId)?.phase, 'queued');
    world.targets.setFault('t2', undefined);
    t.ok(await advanceUntil(world, finished(instance, jobId)));
  });

  t.test('ends as one when one of its targets dies', async t => {
    const {world, instance} = await createScheduled(3);
    const jobId = submit(world, 'r1', {
      payload: {durationMs: 20_000, output: 1},
    });
    t.ok(await advanceUntil(world, running(instance, jobId)));
    const victim = instance.state.getJob(jobId)!.assignments[0]!.target;
    world.targets.kill(victim);
    t.ok(await advanceUntil(world, finished(instance, jobId), 90_000));
    const job = instance.state.getJob(jobId)!;
    t.equal(job.outcome, 'succeeded');
    t.equal(job.attempts, 2, 'it was started again as a whole');
  });

  t.test(
    'that may not be repeated ends as lost when a member dies',
    async t => {
      const {world, instance} = await createScheduled(3);
      const jobId = submit(world, 'r1', {
        repeatable: false,
        payload: {durationMs: 20_000},
      });
      t.ok(await advanceUntil(world, running(instance, jobId)));
      world.targets.kill(instance.state.getJob(jobId)!.assignments[0]!.target);
      t.ok(await advanceUntil(world, finished(instance, jobId)));
      t.equal(instance.state.getJob(jobId)?.outcome, 'lost');
      t.equal(startsOf(world, jobId).length, 2, 'each member started once');
    },
  );

  t.test('that fails on every target ends as failed', async t => {
    const {world, instance} = await createScheduled(4);
    const jobId = submit(world, 'r1', {
      gang: {
        tasks: 1,
        perTask: {accelerators: 8, processors: 1, memoryMb: 1},
        adjacency: 'domain',
      },
      payload: {durationMs: 100, fail: true},
    });
    t.ok(await advanceUntil(world, finished(instance, jobId)));
    t.equal(instance.state.getJob(jobId)?.outcome, 'failed');
    t.equal(instance.state.getJob(jobId)?.lastReason?.code, 'job-failing');
  });
});

t.test('a cancelled job', async t => {
  t.test('is stopped while it runs', async t => {
    const {world, instance} = await createScheduled();
    const jobId = submit(world, 'r1', {payload: {durationMs: 60_000}});
    t.ok(await advanceUntil(world, running(instance, jobId)));
    appendDirectly(world, {
      type: 'cancelled',
      jobId,
      reason: createReason('cancelled', {by: 'its caller'}),
    });
    t.ok(await advanceUntil(world, finished(instance, jobId), 5_000));
    t.equal(instance.state.getJob(jobId)?.outcome, 'cancelled');
  });
});

t.test('a failure domain that is taken out', async t => {
  t.test('starts nothing until it is brought back', async t => {
    const {world, instance} = await createScheduled();
    setDomainState(world, 1, 'out');
    const jobId = submit(world, 'r1');
    await advanceUntil(world, () => false, 10_000);
    t.equal(startsOf(world, jobId).length, 0);
    setDomainState(world, 2, 'in-service');
    t.ok(await advanceUntil(world, finished(instance, jobId)));
  });
});

t.test("an outage of the platform's log", async t => {
  t.test('starts nothing, and running gangs end well after it', async t => {
    const {world, instance} = await createScheduled(4);
    const first = submit(world, 'r1');
    t.ok(await advanceUntil(world, running(instance, first)));
    world.log.faults.outage = 'refused';
    await advanceUntil(world, () => false, 20_000);
    world.log.faults.outage = 'none';
    t.ok(await advanceUntil(world, finished(instance, first)));
    t.equal(instance.state.getJob(first)?.outcome, 'succeeded');
    t.equal(instance.state.getJob(first)?.attempts, 1);
  });

  t.test('that loses the answer of `placed` starts the gang once', async t => {
    const {world, instance} = await createScheduled();
    const jobId = submit(world, 'r1', {repeatable: false});
    await world.clock.advance(0);
    world.log.faults.lostAnswers = 1;
    t.ok(await advanceUntil(world, finished(instance, jobId)));
    t.equal(startsOf(world, jobId).length, 2);
    t.equal(instance.state.getJob(jobId)?.outcome, 'succeeded');
  });

  t.test('that lands `placed` late takes the placement back', async t => {
    const {world, instance} = await createScheduled();
    const jobId = submit(world, 'r1', {repeatable: false});
    world.log.faults.lateAppends = 1;
    world.log.faults.lateBy = 9_000;
    t.ok(await advanceUntil(world, finished(instance, jobId), 120_000));
    t.equal(instance.state.getJob(jobId)?.outcome, 'succeeded');
    t.equal(startsOf(world, jobId).length, 2, 'each member started once');
  });
});

t.test('a takeover', async t => {
  t.test('keeps the gangs that run whole', async t => {
    const {world, instance} = await createScheduled();
    const jobId = submit(world, 'r1', {
      payload: {durationMs: 15_000, output: 1},
    });
    t.ok(await advanceUntil(world, running(instance, jobId)));
    instance.kill();
    const successor = createInstance(world, 'b');
    await claim(world, successor);
    t.ok(await advanceUntil(world, finished(successor, jobId)));
    t.equal(successor.state.getJob(jobId)?.outcome, 'succeeded');
    t.equal(startsOf(world, jobId).length, 2, 'nothing started twice');
  });

  t.test('ends a gang that was started in part within the bound', async t => {
    const {world, instance} = await createScheduled();
    const slowStart = {delayMs: 400, commands: new Set(['start' as const])};
    world.targets.setFault('t2', slowStart);
    const jobId = submit(world, 'r1', {repeatable: false});
    t.ok(await advanceUntil(world, () => startsOf(world, jobId).length === 1));
    // The scheduler dies between the first and the last start; the last is lost.
    instance.kill();
    world.targets.setFault('t2', {silent: true});
    await world.clock.advance(600);
    world.targets.setFault('t2', undefined);
    const successor = createInstance(world, 'b');
    await claim(world, successor);
    t.ok(await advanceUntil(world, finished(successor, jobId), 2 * LEASE_MS));
    const {outcome} = successor.state.getJob(jobId)!;
    t.ok(outcome === 'lost' || outcome === 'succeeded', `it is ${outcome}`);
    t.ok(startsOf(world, jobId).length <= 2, 'no member started twice');
  });

  t.test('fences the scheduler that it replaces', async t => {
    const {world, instance} = await createScheduled();
    const successor = createInstance(world, 'b');
    await claim(world, successor);
    const jobId = submit(world, 'r1', {repeatable: false});
    t.ok(await advanceUntil(world, finished(successor, jobId)));
    t.equal(instance.scheduler.term, undefined);
    t.equal(startsOf(world, jobId).length, 2);
  });
});
