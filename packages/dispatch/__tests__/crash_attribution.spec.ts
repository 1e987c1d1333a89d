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

/** Time after a crash in which it fails no job. */
const VERDICT_DELAY_MS = 1500;

/** Starts a run that its target acknowledges at once, and that may be one of several of its step. */
function startAcknowledgedRun(
  unit: ActiveUnit,
  startedAt: number,
  target?: TargetState,
): TargetState {
  const found = startRun(unit, startedAt, undefined, target);
  unit.allocations[0]!.isConfirmed = true;
  found.onResponse(startedAt + 1, startedAt + 2, startedAt + 2);
  return found;
}

/** Closes the connection to a target at `now`, before the response to a poll is due. */
function closeConnection(target: TargetState, now: number): void {
  target.responseDueAt = now + 500;
  target.unresponsiveSince = now;
}

/** Lets `count` targets without runs crash between `now - 600` and `now`. */
function crashIdleTargets(
  attribution: CrashAttribution,
  count: number,
  now: number,
): void {
  for (let index = 0; index < count; index++) {
    const target = createTarget(`t${targetCount++}`, 'r', now);
    target.onResponse(1, now - 600 - 10 * index, now - 600 - 10 * index);
    attribution.onCrash(target, now + 20 * index);
  }
}

t.test('a task is given up after three crashes at its start', async t => {
  const unit = createUnit('1');
  for (const start of [0, 5000, 10_000]) {
    crashes.onTick(start);
    t.notOk(unit.job.hasFailed);
    crashes.onCrash(startRun(unit, start), start + 3000);
  }
  crashes.onTick(13_000 + VERDICT_DELAY_MS);
  t.ok(unit.job.hasFailed);
});

// Guards against a job that is given up at the first crash of many before the others are known.
t.test(
  'a third crash fails no job, and the task does not start, before others could be found',
  async t => {
    const attribution = new CrashAttribution(
      () => undefined,
      new SilentLogger(),
    );
    const unit = createUnit('1');
    for (const start of [0, 20_000, 40_000]) {
      const target = startAcknowledgedRun(unit, start);
      attribution.onCrash(target, start + 700);
      attribution.onTick(start + 800);
    }
    t.equal(countCrashes(unit), 3);
    t.ok(unit.retryAt >= 40_700 + VERDICT_DELAY_MS);
    t.notOk(unit.job.hasFailed);
    crashIdleTargets(attribution, 3, 40_700);
    attribution.onTick(40_800);
    t.equal(countCrashes(unit), 2);
    t.ok(unit.retryAt <= 40_800);
    attribution.onTick(60_000);
    t.notOk(unit.job.hasFailed);
  },
);

// Guards against jobs that are given up for crashes of targets that restart together for another cause.
t.test('crashes that happen together count against no run', async t => {
  const attribution = new CrashAttribution(() => undefined, new SilentLogger());
  const units = ['1', '2', '3', '4', '5', '6'].map(id => createUnit(id));
  for (let round = 0; round < 8; round++) {
    const now = 2500 * round + 10_000;
    const targets = units.map((unit, index) =>
      startAcknowledgedRun(unit, now - 150 * index),
    );
    targets.forEach((target, index) =>
      attribution.onCrash(target, now + 600 + 100 * index),
    );
    attribution.onTick(now + 1100);
    t.same(units.map(countCrashes), [0, 0, 0, 0, 0, 0]);
  }
  attribution.onTick(100_000);
  t.notOk(units.some(({job}) => job.hasFailed));
});

// Guards against a run that is blamed although its start got no answer and many targets crashed.
t.test(
  'a start without an answer is not blamed for a crash that happened with others',
  async t => {
    const attribution = new CrashAttribution(
      () => undefined,
      new SilentLogger(),
    );
    const unit = createUnit('1');
    const target = createTarget('t', 'r', 9000);
    target.onResponse(1, 9000, 9000);
    startRun(unit, 9500, undefined, target);
    attribution.onCrash(target, 10_700);
    crashIdleTargets(attribution, 3, 10_600);
    attribution.onTick(10_800);
    t.equal(countCrashes(unit), 0);
  },
);

// Guards against a task that crashes its targets without a limit, since others restart in these seconds.
t.test(
  'a task that crashes its target at its start is blamed although others crash before and after it',
  async t => {
    const attribution = new CrashAttribution(
      () => undefined,
      new SilentLogger(),
    );
    const unit = createUnit('1');
    for (const start of [0, 5000, 10_000]) {
      const target = startAcknowledgedRun(unit, start);
      closeConnection(target, start + 20);
      crashIdleTargets(attribution, 6, start - 400);
      crashIdleTargets(attribution, 6, start + 1500);
      attribution.onCrash(target, start + 3000);
      attribution.onTick(start + 3100);
    }
    attribution.onTick(13_000 + VERDICT_DELAY_MS);
    t.ok(unit.job.hasFailed);
  },
);

// Guards against tasks that crash their targets without a limit, since others fell silent before and are not back yet.
t.test(
  'tasks that crash their targets while others are silent are blamed',
  async t => {
    for (const ids of [['1'], ['1', '2']]) {
      const attribution = new CrashAttribution(
        () => undefined,
        new SilentLogger(),
      );
      const units = ids.map(id => createUnit(id));
      const targets = units.map((unit, index) =>
        startAcknowledgedRun(unit, 10_500 + 10 * index),
      );
      targets.forEach((target, index) =>
        closeConnection(target, 10_530 + 10 * index),
      );
      crashIdleTargets(attribution, 6, 10_600);
      targets.forEach(target => attribution.onCrash(target, 13_500));
      attribution.onTick(13_600);
      t.ok(units.every(unit => countCrashes(unit) === 1));
    }
  },
);

// Guards against a wide job whose crashing tasks pass for a common cause, because their targets crash together.
t.test(
  'a job is blamed for targets that crash together under its tasks',
  async t => {
    const attribution = new CrashAttribution(
      () => undefined,
      new SilentLogger(),
    );
    const {job} = createUnit('1', {count: 6});
    for (const start of [0, 5000, 10_000]) {
      const targets = job.units.map(unit => startAcknowledgedRun(unit, start));
      targets.forEach(target => closeConnection(target, start + 20));
      targets.forEach(target => attribution.onCrash(target, start + 3000));
      attribution.onTick(start + 3100);
    }
    attribution.onTick(13_000 + VERDICT_DELAY_MS);
    t.ok(job.hasFailed);
  },
);

// Guards against crashing tasks of several jobs that pass for a common cause, because they started in one pass.
t.test(
  'tasks that started and crashed their targets together are blamed',
  async t => {
    const attribution = new CrashAttribution(
      () => undefined,
      new SilentLogger(),
    );
    const units = ['1', '2', '3', '4', '5', '6'].map(id => createUnit(id));
    for (const start of [0, 5000, 10_000]) {
      const targets = units.map((unit, index) =>
        startAcknowledgedRun(unit, start + 10 * index),
      );
      targets.forEach((target, index) =>
        closeConnection(target, start + 300 + 10 * index),
      );
      targets.forEach(target => attribution.onCrash(target, start + 3000));
      attribution.onTick(start + 3100);
    }
    attribution.onTick(13_000 + VERDICT_DELAY_MS);
    t.ok(units.every(({job}) => job.hasFailed));
  },
);

// Guards against a job that a new leader gives up for a crash that its predecessor could not judge yet.
t.test(
  'a new leader lets a task start once more after a third crash, but not after a fifth',
  async t => {
    const unit = createUnit('1');
    for (const [round, start] of [
      0, 20_000, 40_000, 60_000, 80_000,
    ].entries()) {
      const leader = new CrashAttribution(() => undefined, new SilentLogger());
      leader.onAdopted(unit);
      t.notOk(unit.job.hasFailed);
      t.equal(countCrashes(unit), Math.min(round, 2));
      leader.onCrash(startRun(unit, start), start + 100);
    }
    new CrashAttribution(() => undefined, new SilentLogger()).onAdopted(unit);
    t.ok(unit.job.hasFailed);
  },
);

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
    crashes.onTick(start + age + 100 + VERDICT_DELAY_MS);
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
      crashes.onTick(start + age + 100 + VERDICT_DELAY_MS);
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
      crashes.onTick(start + 4500 + VERDICT_DELAY_MS);
    }
    t.ok(unit.job.hasFailed);
  },
);
