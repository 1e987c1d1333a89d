/** Load: short urgent gangs arrive while a sixth of the targets is five times slower (menon-terrain trouble-1). */
import t from 'tap';
import {DurationEstimator, type ActiveUnit} from '@galenavalve/dispatch';
import {findEarlyStragglers} from '../src/early_progress.js';
import {addRun, createJob, createStep, createTarget} from './fixtures.js';

/** Creates an urgent run that started at 0, and the percent of each member as listed at `listedAt`. */
function createRun(percents: number[], listedAt: number): ActiveUnit {
  const step = createStep({count: percents.length, estimateMs: 2500});
  const unit = createJob('1', step, {priority: 0}).units[0]!;
  percents.forEach((percent, index) => {
    addRun(unit, createTarget(`t${index}`, 'r', 0), 0);
    Object.assign(unit.allocations[index]!, {percent, listedAt});
  });
  return unit;
}

function findTargets(unit: ActiveUnit, now: number): string[] {
  const stragglers = findEarlyStragglers(unit, new DurationEstimator(), now);
  return stragglers.map(({target}) => target.info.id);
}

t.test('a member far behind the others is found in the first second', t => {
  t.same(findTargets(createRun([30, 6, 27], 750), 760), ['t1']);
  t.end();
});

t.test('uneven members on healthy targets are not slow', t => {
  t.same(findTargets(createRun([38, 19, 27], 750), 760), []);
  t.end();
});

t.test('nothing is concluded from the first percents', t => {
  t.same(findTargets(createRun([8, 1, 7], 400), 410), []);
  t.same(findTargets(createRun([20, 4, 16], 300), 310), []);
  t.end();
});

t.test('a run on one target is compared with the estimate, once', t => {
  const unit = createRun([5], 800);
  t.same(findTargets(unit, 810), ['t0']);
  unit.progress.run = 2;
  t.same(findTargets(unit, 810), []);
  t.end();
});

t.test('a member that is about to end is not restarted', t => {
  t.same(findTargets(createRun([100, 80, 100], 6000), 6010), []);
  t.end();
});
