import t from 'tap';
import {
  type ActiveUnit,
  CrashAttribution,
  findCrashEvidence,
  type TargetState,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {formatProgress, parseProgress} from '@galenavalve/workload';
import {addRun, createJob, createStep, createTarget} from './fixtures.js';

const crashes = new CrashAttribution(() => undefined, new SilentLogger());

function createUnit(id: string, values = {}): ActiveUnit {
  const step = createStep({isGang: false, count: 1, ...values});
  return createJob(id, step).units[0]!;
}

/** Number of targets that were created; each has an id of its own. */
let targetCount = 0;

/** Starts a run of `unit` on another target than earlier runs; it is listed until `listedUntil`, if given. */
function startRun(
  unit: ActiveUnit,
  startedAt: number,
  listedUntil?: number,
  target = createTarget(`t${targetCount++}`, 'r', startedAt),
): TargetState {
  unit.allocations = [];
  addRun(unit, target, startedAt);
  const allocation = unit.allocations[0]!;
  allocation.startedAt = startedAt;
  if (listedUntil !== undefined) {
    allocation.isListed = true;
    allocation.listedAt = listedUntil;
    crashes.onListed(allocation, listedUntil);
  }
  return target;
}

function countCrashes(unit: ActiveUnit): number {
  return findCrashEvidence(unit, 0)?.count ?? 0;
}

t.test('a task is given up after three crashes at its start', async t => {
  const unit = createUnit('1');
  for (const start of [0, 5000, 10_000]) {
    t.notOk(unit.job.hasFailed);
    crashes.onCrash(startRun(unit, start), start + 3000);
  }
  t.ok(unit.job.hasFailed);
});

// Guards against jobs that fail because they were on targets that another task crashed.
t.test(
  'a run that the target listed is not blamed beside one that it never listed',
  async t => {
    const started = createUnit('1');
    const listed = createUnit('2');
    const target = startRun(listed, 0, 900);
    startRun(started, 1000, undefined, target);
    crashes.onCrash(target, 4000);
    t.equal(countCrashes(started), 1);
    t.equal(countCrashes(listed), 0);
  },
);

t.test(
  'if the target listed all of its runs, each of them is blamed',
  async t => {
    const units = [createUnit('1'), createUnit('2')];
    const target = startRun(units[0]!, 0, 900);
    startRun(units[1]!, 0, 900, target);
    crashes.onCrash(target, 4000);
    t.same(units.map(countCrashes), [1, 1]);
  },
);

t.test(
  'a run that outlives the age of earlier crashes clears its task',
  async t => {
    const unit = createUnit('1');
    crashes.onCrash(startRun(unit, 0), 3000);
    crashes.onCrash(startRun(unit, 5000), 8000);
    t.equal(countCrashes(unit), 2);
    startRun(unit, 10_000, 13_001);
    t.equal(countCrashes(unit), 0);
  },
);

t.test('crashes at different ages do not add up', async t => {
  const unit = createUnit('1');
  crashes.onCrash(startRun(unit, 0, 8000), 9000);
  crashes.onCrash(startRun(unit, 10_000, 11_000), 12_000);
  crashes.onCrash(startRun(unit, 20_000, 24_000), 25_000);
  t.equal(countCrashes(unit), 1);
  t.notOk(unit.job.hasFailed);
});

// Guards against a task without a limit because it crashes its targets at any age.
t.test('a task is given up after five crashes of any age', async t => {
  const unit = createUnit('1');
  for (const [round, age] of [8000, 1000, 4000, 12_000, 500].entries()) {
    t.notOk(unit.job.hasFailed);
    const start = round * 20_000;
    crashes.onCrash(startRun(unit, start, start + age), start + age + 100);
  }
  t.ok(unit.job.hasFailed);
});

t.test(
  'a long-running task is not given up for crashes between which it ran for long',
  async t => {
    const unit = createUnit('1', {isLongRunning: true});
    for (let round = 0; round < 20; round++) {
      const start = round * 1e6;
      const age = 2000 * (round + 1);
      crashes.onCrash(startRun(unit, start, start + age), start + age + 100);
    }
    t.notOk(unit.job.hasFailed);
  },
);

// Guards against jobs that are blamed for a crash before their start command was sent.
t.test(
  'an unacknowledged start counts only if the target still responded when it was sent',
  async t => {
    const unit = createUnit('1');
    const target = startRun(unit, 1000);
    target.unresponsiveSince = 900;
    crashes.onCrash(target, 4000);
    t.equal(countCrashes(unit), 0);
    target.unresponsiveSince = 1100;
    crashes.onCrash(target, 4000);
    t.equal(countCrashes(unit), 1);
  },
);

// Guards against a job that is given up since each leader counts the same crash while a member of its gang is cut off.
t.test(
  'a crash that an earlier leader counted is not counted again',
  async t => {
    const unit = createUnit('1');
    const target = startRun(unit, 0);
    crashes.onCrash(target, 3000);
    for (const now of [6000, 9000, 12_000]) {
      const next = new CrashAttribution(() => undefined, new SilentLogger());
      const stored = parseProgress(formatProgress(unit.job.progress)).read();
      unit.progress = stored.occurrences[0]!.steps[0]![0]!;
      next.onAdopted(unit);
      next.onCrash(target, now);
      t.equal(countCrashes(unit), 1);
    }
    t.notOk(unit.job.hasFailed);
  },
);

// Guards against a job that is blamed by a later leader for a crash that was attributed to another.
t.test(
  'a crash that was attributed to a run is not attributed to others later',
  async t => {
    const suspect = createUnit('1');
    const other = createUnit('2');
    const target = startRun(other, 0, 900);
    startRun(suspect, 1000, undefined, target);
    crashes.onCrash(target, 4000);
    const next = new CrashAttribution(() => undefined, new SilentLogger());
    next.onAdopted(suspect);
    next.onAdopted(other);
    target.release(suspect.allocations[0]!);
    next.onCrash(target, 6000);
    t.same([suspect, other].map(countCrashes), [1, 0]);
  },
);

// Guards against a chain of crashes whose cause is never blamed, since each target also has a run that it has not listed yet.
t.test(
  'a task that crashes targets that listed it is given up although another run is suspected each time',
  async t => {
    const unit = createUnit('1');
    for (let round = 0; round < 5; round++) {
      const start = round * 10_000;
      const target = startRun(unit, start, start + 1400);
      const other = createUnit(`other-${round}`);
      startRun(other, start + 1450, undefined, target);
      crashes.onCrash(target, start + 4500);
    }
    t.ok(unit.job.hasFailed);
  },
);
