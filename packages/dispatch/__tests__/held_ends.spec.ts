import t from 'tap';
import {DurationEstimator, RunTracker} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {createJob, createStep, createTarget} from './fixtures.js';

const NOW = 10_000;

// Guards against a member that runs again after its end was acknowledged: its gang was done, and the job ended, before its own target listed the end.
t.test(
  'the end of a member is held back although the job has ended meanwhile',
  async t => {
    const events = {onChange: () => undefined, onStop: () => undefined};
    const tracker = new RunTracker(
      events,
      new DurationEstimator(),
      new SilentLogger(),
    );
    const first = createTarget('a', 'r', NOW);
    const second = createTarget('b', 'r', NOW);
    const unit = createJob('1', createStep({count: 2})).units[0]!;
    unit.progress.run = 1;
    for (const [member, target] of [first, second].entries()) {
      const allocation = tracker.allocate(unit, member, target, 1, NOW);
      allocation.state = 'confirmed';
      allocation.mayStartUntil = NOW + 11_000;
    }
    const end = {number: 1, run: 1, kind: 'done', checkpoint: ''} as const;
    tracker.onEnd(first, {...end, task: '1.0.0.0'}, unit, NOW + 1000);
    t.ok(first.hasHeldEnds(NOW + 1000));
    t.ok(unit.progress.isDone, 'one end represents the gang');
    // The job ended with the first end, so that its unit is not found any more.
    tracker.onEnd(second, {...end, task: '1.0.0.1'}, undefined, NOW + 1500);
    t.ok(second.hasHeldEnds(NOW + 1500));
  },
);
