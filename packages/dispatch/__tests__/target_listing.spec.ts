import t from 'tap';
import {
  CrashAttribution,
  DEFAULT_SETTINGS,
  DurationEstimator,
  RunTracker,
  type TargetState,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {isUnitWaiting} from '../src/active_job.js';
import {applyListing} from '../src/target_listing.js';
import {createJob, createStep, createTarget} from './fixtures.js';

/** Lists a run of a task that no active job expects; returns the free accelerators. */
function listOrphan(target: TargetState, demand: Demand | undefined): number {
  const logger = new SilentLogger();
  const events = {onChange: () => undefined, onStop: () => undefined};
  const tracker = new RunTracker(events, new DurationEstimator(), logger);
  const context = {
    tracker,
    crashes: new CrashAttribution(() => undefined, logger),
    epoch: 2,
    maxLease: DEFAULT_SETTINGS.maxLease,
    findUnit: () => undefined,
    findDemand: () => demand,
    onOrphan: () => undefined,
  };
  const run = {task: 'ended.0.0.0', run: 2, checkpoint: '', percent: 5};
  const listing = {born: 1, clock: 100, running: [run], ended: []};
  applyListing(target, listing, context, 100, 100);
  return target.computeFreeCapacity().accelerators;
}

// Guards against starts over the capacity after a takeover, while the last runs of ended jobs are being stopped.
t.test('a run of an ended job holds its capacity until it is gone', async t => {
  const demand = {cpu: 4000, memoryMb: 8000, accelerators: 3};
  t.equal(listOrphan(createTarget('a', 'r', 0), demand), 5);
});

t.test('a run of an unknown job holds the whole target', async t => {
  t.equal(listOrphan(createTarget('a', 'r', 0), undefined), 0);
});

// Guards against two runs of a task because it is placed while a target lists a former run of it, which a late start has brought to life.
t.test('a unit is not placed while a target lists a run of it', async t => {
  const logger = new SilentLogger();
  const events = {onChange: () => undefined, onStop: () => undefined};
  const tracker = new RunTracker(events, new DurationEstimator(), logger);
  const unit = createJob('1', createStep({isGang: false, count: 1})).units[0]!;
  unit.progress.run = 1;
  t.ok(isUnitWaiting(unit));
  const target = createTarget('a', 'r', 0);
  const context = {
    tracker,
    crashes: new CrashAttribution(() => undefined, logger),
    epoch: 2,
    maxLease: DEFAULT_SETTINGS.maxLease,
    findUnit: () => unit,
    findDemand: () => unit.step.demand,
    onOrphan: () => undefined,
  };
  const run = {task: '1.0.0.0', run: 1, checkpoint: '', percent: 5};
  const listing = {born: 1, clock: 100, running: [run], ended: []};
  applyListing(target, listing, context, 100, 100);
  t.notOk(isUnitWaiting(unit));
});
