import t from 'tap';
import {compareMemberRates} from '../src/progress_rate.js';
import {createJob, createTarget, createStep, addRun} from './fixtures.js';

/**
 * Creates a gang whose members made this progress, in percent, within ten
 * seconds, each on its own target.
 */
function createGang(percents: number[]) {
  const targets = percents.map((_, index) => createTarget(`t${index}`, 'r', 0));
  const step = createStep({count: percents.length});
  const unit = createJob('1', step).units[0]!;
  targets.forEach(target => addRun(unit, target, 0));
  for (const [index, allocation] of unit.allocations.entries()) {
    allocation.percent = percents[index]!;
    allocation.percentAt = 10_000;
  }
  return {targets, allocations: unit.allocations};
}

t.test('a target that delays its gangs is rated as slow', t => {
  const {targets, allocations} = createGang([90, 90, 60, 90]);
  for (let gang = 0; gang < 6; gang++) {
    compareMemberRates(allocations);
  }
  const slownesses = targets.map(({slowness}) => Number(slowness.toFixed(3)));
  t.same(slownesses, [1, 1, 1.5, 1]);
  t.end();
});

t.test('two members do not show which of them is slow', t => {
  const {targets, allocations} = createGang([90, 60]);
  for (let gang = 0; gang < 6; gang++) {
    compareMemberRates(allocations);
  }
  t.same(
    targets.map(({slowness}) => slowness),
    [1, 1],
  );
  t.end();
});
