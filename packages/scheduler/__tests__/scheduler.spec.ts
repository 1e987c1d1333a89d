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

const isFinished = (instance: Instance, jobId: string) => () =>
  instance.state.getJob(jobId)?.phase === 'finished';
const isRunning = (instance: Instance, jobId: string) => () =>
  instance.state.getJob(jobId)?.phase === 'running';
const findStarts = (cluster: TestCluster, jobId: string) =>
  cluster.runs.filter(run => run.jobId === jobId && run.kind === 'started');

async function createScheduled(targetCount = 2) {
  const cluster = createTestCluster(targetCount);
  const instance = createInstance(cluster, 'a');
  await claim(cluster, instance);
  return {cluster, instance};
}

t.test('a gang', async t => {
  t.test(
    'runs on all targets and returns the results of all tasks',
    async t => {
      const {cluster, instance} = await createScheduled();
      const jobId = submit(cluster, 'r1');
      t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
      const job = instance.state.getJob(jobId)!;
      t.equal(job.outcome, 'succeeded');
      t.strictSame(job.results, ['r1', 'r1']);
      t.equal(findStarts(cluster, jobId).length, 2);
    },
  );

  t.test('does not start when one of its targets is unreachable', async t => {
    const {cluster, instance} = await createScheduled();
    cluster.targets.setFault('t2', {silent: true});
    const jobId = submit(cluster, 'r1');
    await advanceUntil(cluster, () => false, 10_000);
    t.equal(findStarts(cluster, jobId).length, 0);
    t.equal(instance.state.getJob(jobId)?.phase, 'queued');
    cluster.targets.setFault('t2', undefined);
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
  });

  t.test('restarts as a whole when one of its targets dies', async t => {
    const {cluster, instance} = await createScheduled(3);
    const jobId = submit(cluster, 'r1', {
      payload: {durationMs: 20_000, output: 1},
    });
    t.ok(await advanceUntil(cluster, isRunning(instance, jobId)));
    const victim = instance.state.getJob(jobId)!.assignments[0]!.target;
    cluster.targets.kill(victim);
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId), 90_000));
    const job = instance.state.getJob(jobId)!;
    t.equal(job.outcome, 'succeeded');
    t.equal(job.attempts, 2, 'it was restarted as a whole');
  });

  t.test('that is not repeatable ends as lost when a member dies', async t => {
    const {cluster, instance} = await createScheduled(3);
    const jobId = submit(cluster, 'r1', {
      repeatable: false,
      payload: {durationMs: 20_000},
    });
    t.ok(await advanceUntil(cluster, isRunning(instance, jobId)));
    cluster.targets.kill(instance.state.getJob(jobId)!.assignments[0]!.target);
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
    t.equal(instance.state.getJob(jobId)?.outcome, 'lost');
    t.equal(findStarts(cluster, jobId).length, 2, 'each member started once');
  });

  // Guards against one job that crashes its targets taking down target after target.
  t.test('that crashes each target that starts it ends as failed', async t => {
    const maxStarts = 5;
    const {cluster, instance} = await createScheduled(10);
    const jobId = submit(cluster, 'r1', {
      gang: {
        tasks: 1,
        perTask: {accelerators: 8, processors: 1, memoryMb: 1},
        adjacency: 'domain',
      },
      payload: {durationMs: 20_000},
    });
    const hasEnded = isFinished(instance, jobId);
    const hasStarted = isRunning(instance, jobId);
    const killed = new Set<string>();
    for (let start = 0; start < maxStarts && !hasEnded(); start++) {
      const isOnNewTarget = () =>
        hasStarted() &&
        !killed.has(instance.state.getJob(jobId)!.assignments[0]!.target);
      await advanceUntil(cluster, () => isOnNewTarget() || hasEnded(), 90_000);
      if (!hasEnded()) {
        const {target} = instance.state.getJob(jobId)!.assignments[0]!;
        killed.add(target);
        cluster.targets.kill(target);
      }
    }
    t.ok(await advanceUntil(cluster, hasEnded, 20_000));
    t.equal(instance.state.getJob(jobId)?.outcome, 'failed');
  });

  t.test('that fails on every target ends as failed', async t => {
    const {cluster, instance} = await createScheduled(4);
    const jobId = submit(cluster, 'r1', {
      gang: {
        tasks: 1,
        perTask: {accelerators: 8, processors: 1, memoryMb: 1},
        adjacency: 'domain',
      },
      payload: {durationMs: 100, fail: true},
    });
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
    t.equal(instance.state.getJob(jobId)?.outcome, 'failed');
    t.equal(instance.state.getJob(jobId)?.lastReason?.code, 'job-failing');
  });
});

t.test('a cancelled job', async t => {
  t.test('is stopped while it runs', async t => {
    const {cluster, instance} = await createScheduled();
    const jobId = submit(cluster, 'r1', {payload: {durationMs: 60_000}});
    t.ok(await advanceUntil(cluster, isRunning(instance, jobId)));
    appendDirectly(cluster, {
      type: 'cancelled',
      jobId,
      reason: createReason('cancelled', {by: 'its caller'}),
    });
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId), 5_000));
    t.equal(instance.state.getJob(jobId)?.outcome, 'cancelled');
  });
});

t.test('a failure domain that is taken out', async t => {
  t.test('starts nothing until it is back in service', async t => {
    const {cluster, instance} = await createScheduled();
    setDomainState(cluster, 1, 'out');
    const jobId = submit(cluster, 'r1');
    await advanceUntil(cluster, () => false, 10_000);
    t.equal(findStarts(cluster, jobId).length, 0);
    setDomainState(cluster, 2, 'in-service');
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
  });
});

t.test("an outage of the platform's log", async t => {
  t.test('starts no gangs, and running gangs succeed after it', async t => {
    const {cluster, instance} = await createScheduled(4);
    const first = submit(cluster, 'r1');
    t.ok(await advanceUntil(cluster, isRunning(instance, first)));
    cluster.log.faults.outage = 'refused';
    await advanceUntil(cluster, () => false, 20_000);
    cluster.log.faults.outage = 'none';
    t.ok(await advanceUntil(cluster, isFinished(instance, first)));
    t.equal(instance.state.getJob(first)?.outcome, 'succeeded');
    t.equal(instance.state.getJob(first)?.attempts, 1);
  });

  t.test(
    'that loses the response to `placed` starts the gang once',
    async t => {
      const {cluster, instance} = await createScheduled();
      const jobId = submit(cluster, 'r1', {repeatable: false});
      await cluster.clock.advance(0);
      cluster.log.faults.lostAnswers = 1;
      t.ok(await advanceUntil(cluster, isFinished(instance, jobId)));
      t.equal(findStarts(cluster, jobId).length, 2);
      t.equal(instance.state.getJob(jobId)?.outcome, 'succeeded');
    },
  );

  t.test('that delays `placed` ends with the placement withdrawn', async t => {
    const {cluster, instance} = await createScheduled();
    const jobId = submit(cluster, 'r1', {repeatable: false});
    cluster.log.faults.lateAppends = 1;
    cluster.log.faults.lateBy = 9_000;
    t.ok(await advanceUntil(cluster, isFinished(instance, jobId), 120_000));
    t.equal(instance.state.getJob(jobId)?.outcome, 'succeeded');
    t.equal(findStarts(cluster, jobId).length, 2, 'each member started once');
  });
});

t.test('a takeover', async t => {
  t.test('keeps gangs running whose members all run', async t => {
    const {cluster, instance} = await createScheduled();
    const jobId = submit(cluster, 'r1', {
      payload: {durationMs: 15_000, output: 1},
    });
    t.ok(await advanceUntil(cluster, isRunning(instance, jobId)));
    instance.kill();
    const successor = createInstance(cluster, 'b');
    await claim(cluster, successor);
    t.ok(await advanceUntil(cluster, isFinished(successor, jobId)));
    t.equal(successor.state.getJob(jobId)?.outcome, 'succeeded');
    t.equal(findStarts(cluster, jobId).length, 2, 'nothing started twice');
  });

  t.test('ends a partially started gang within the bound', async t => {
    const {cluster, instance} = await createScheduled();
    const slowStart = {delayMs: 400, commands: new Set(['start' as const])};
    cluster.targets.setFault('t2', slowStart);
    const jobId = submit(cluster, 'r1', {repeatable: false});
    t.ok(
      await advanceUntil(
        cluster,
        () => findStarts(cluster, jobId).length === 1,
      ),
    );
    // The scheduler is killed after the first start arrived; the second is lost.
    instance.kill();
    cluster.targets.setFault('t2', {silent: true});
    await cluster.clock.advance(600);
    cluster.targets.setFault('t2', undefined);
    const successor = createInstance(cluster, 'b');
    await claim(cluster, successor);
    t.ok(
      await advanceUntil(cluster, isFinished(successor, jobId), 2 * LEASE_MS),
    );
    const {outcome} = successor.state.getJob(jobId)!;
    t.ok(
      outcome === 'lost' || outcome === 'succeeded',
      `the outcome is ${outcome}`,
    );
    t.ok(findStarts(cluster, jobId).length <= 2, 'no member started twice');
  });

  t.test('fences the scheduler that it replaces', async t => {
    const {cluster, instance} = await createScheduled();
    const successor = createInstance(cluster, 'b');
    await claim(cluster, successor);
    const jobId = submit(cluster, 'r1', {repeatable: false});
    t.ok(await advanceUntil(cluster, isFinished(successor, jobId)));
    t.equal(instance.scheduler.term, undefined);
    t.equal(findStarts(cluster, jobId).length, 2);
  });
});
