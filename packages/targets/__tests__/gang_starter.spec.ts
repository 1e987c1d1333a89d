import t from 'tap';
import {createReason} from '@galenavalve/model';
import {advanceUntil} from '../src/index.js';
import {
  RESERVATION_TTL_MS,
  createGangAttempt,
  createStarter,
  createTargets,
  createTerm,
} from './fixtures.js';

const NO_BLOCKER = () => undefined;

t.test('a gang', async t => {
  t.test('starts on every target', async t => {
    const {clock, targets, runs} = createTargets(3);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(3);
    t.match(await starter.reserve(gangAttempt), {kind: 'reserved'});
    t.same(await starter.start(gangAttempt, NO_BLOCKER), {kind: 'started'});
    t.equal(runs.length, 3);
  });

  t.test('is released everywhere when one target refuses', async t => {
    const {clock, targets} = createTargets(3);
    const starter = createStarter(clock, targets);
    targets.getModel('t1').leaving = true;
    const result = await starter.reserve(createGangAttempt(3));
    t.match(result, {kind: 'refused', culprit: 't1'});
    t.same(targets.getModel('t0').report(clock.now()).leases, []);
  });

  t.test('does not start when a blocker is found', async t => {
    const {clock, targets, runs} = createTargets(2);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(2);
    await starter.reserve(gangAttempt);
    const reason = createReason('waiting-stale');
    const result = await starter.start(gangAttempt, () => reason);
    t.same(result, {
      kind: 'not-started',
      mayHaveRun: false,
      culprit: undefined,
      reason,
    });
    t.same(runs, []);
  });

  t.test('does not start after its reservations expired', async t => {
    const {clock, targets, runs} = createTargets(2);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(2);
    await starter.reserve(gangAttempt);
    await clock.advance(RESERVATION_TTL_MS);
    const result = await starter.start(gangAttempt, NO_BLOCKER);
    t.match(result, {kind: 'not-started', mayHaveRun: false});
    t.same(runs, []);
  });

  t.test('keeps its reservations while an append is pending', async t => {
    const {clock, targets} = createTargets(2);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(2);
    await starter.reserve(gangAttempt);
    const signal = new AbortController().signal;
    const renewals = starter.renewReservations(
      gangAttempt,
      clock.now() + 5000,
      signal,
    );
    await advanceUntil(clock, renewals);
    t.same(await starter.start(gangAttempt, NO_BLOCKER), {kind: 'started'});
  });

  t.test('ends as a whole when one start gets no response', async t => {
    const {clock, targets, runs} = createTargets(3);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(3);
    await starter.reserve(gangAttempt);
    targets.setFault('t2', {silent: true});
    const result = await advanceUntil(
      clock,
      starter.start(gangAttempt, NO_BLOCKER),
    );
    t.match(result, {kind: 'not-started', mayHaveRun: true, culprit: 't2'});
    t.equal(runs.filter(run => run.kind === 'started').length, 2);
    t.equal(runs.filter(run => run.kind === 'ended').length, 2);
  });

  t.test(
    'is proven unstarted when its only target reports a reservation',
    async t => {
      const {clock, targets, runs} = createTargets(1);
      const starter = createStarter(clock, targets);
      const gangAttempt = createGangAttempt(1);
      await starter.reserve(gangAttempt);
      targets.setFault('t0', {silent: true, commands: new Set(['start'])});
      const result = await advanceUntil(
        clock,
        starter.start(gangAttempt, NO_BLOCKER),
      );
      t.match(result, {kind: 'not-started', mayHaveRun: false});
      t.same(runs, []);
    },
  );

  t.test(
    'cannot start late, however long its start command was delayed',
    async t => {
      const {clock, targets, runs} = createTargets(1);
      const starter = createStarter(clock, targets);
      const gangAttempt = createGangAttempt(1);
      await starter.reserve(gangAttempt);
      targets.setFault('t0', {delayMs: 3000});
      const result = await advanceUntil(
        clock,
        starter.start(gangAttempt, NO_BLOCKER),
      );
      t.match(result, {kind: 'not-started', mayHaveRun: true});
      await clock.advance(10_000);
      t.same(runs, []);
    },
  );

  t.test('with a lower term is refused', async t => {
    const {clock, targets, runs} = createTargets(2);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(2);
    await starter.reserve(gangAttempt);
    targets.getModel('t1').fence({term: createTerm(2)}, clock.now());
    const result = await starter.start(gangAttempt, NO_BLOCKER);
    t.match(result, {kind: 'not-started', mayHaveRun: true, culprit: 't1'});
    t.equal(runs.filter(run => run.kind === 'ended').length, 1);
  });

  t.test('reports the progress that all of its members have saved', async t => {
    const {clock, targets} = createTargets(2);
    const starter = createStarter(clock, targets);
    const gangAttempt = createGangAttempt(2);
    await starter.reserve(gangAttempt);
    await starter.start(gangAttempt, NO_BLOCKER);
    await clock.advance(3000);
    const stopped = starter.stop(gangAttempt, {
      checkpoint: true,
      graceMs: 1000,
    });
    const result = await advanceUntil(clock, stopped);
    t.equal(result.progressSeconds, 3.05);
    t.same(
      result.reports.map(report => report.state),
      ['stopped', 'stopped'],
    );
  });
});
