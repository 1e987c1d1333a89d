/** Incident LOST: a job could run and does not, while most of the capacity is free. */
import t from 'tap';
import {
  type ActiveJob,
  DurationEstimator,
  RunTracker,
  type SchedulingSnapshot,
  type TargetState,
  decide,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import type {Step} from '@galenavalve/workload';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
  createTargets,
} from './fixtures.js';

const NOW = 20_000;

const small = {cpu: 1000, memoryMb: 1000, accelerators: 1};
const whole = {cpu: 4000, memoryMb: 8000, accelerators: 8};

function createTask(
  id: string,
  values: Partial<Step> = {},
  job: Parameters<typeof createJob>[2] = {},
): ActiveJob {
  const step = createStep({
    count: 1,
    isGang: false,
    demand: small,
    estimateMs: 60_000,
    ...values,
  });
  return createJob(id, step, {acceptedAt: NOW - 1000, ...job});
}

/** Creates a task that has been ready since 3 s before `NOW`. */
function createOverdueTask(
  id: string,
  values: Partial<Step> = {},
  job: Parameters<typeof createJob>[2] = {},
): ActiveJob {
  const task = createTask(id, values, job);
  task.units.forEach(unit => {
    unit.waitingSince = NOW - 3000;
  });
  return task;
}

function isStarted(
  job: ActiveJob,
  jobs: ActiveJob[],
  targets: TargetState[],
  values: Partial<SchedulingSnapshot> = {},
): boolean {
  const {starts} = decide(createSnapshot(jobs, targets, values), NOW);
  return starts.some(({unit}) => unit.job === job);
}

/** Adds a long run of `values` to `target`. */
function occupy(target: TargetState, values: Partial<Step> = {}): ActiveJob {
  const job = createTask(`on-${target.info.id}`, {
    estimateMs: 600_000,
    ...values,
  });
  addRun(job.units[0]!, target, 0);
  job.units[0]!.allocations[0]!.isListed = true;
  return job;
}

// Guards against a queue whose service has changed: jobs accepted before keep its later jobs out.
t.test(
  'a task that has no pool does not keep out a task of the same queue with another pool',
  async t => {
    const old = createTask('1', {}, {});
    old.accepted.terms.pool = 'gone';
    const later = createTask('2', {}, {acceptedAt: NOW - 500});
    t.ok(isStarted(later, [old, later], createTargets(4, 2, NOW)));
  },
);

// Guards against a guaranteed job that never accepts the locality penalty because another of its shape may not.
t.test(
  'a guaranteed and overdue task is not kept out by a task of the same shape without a guarantee',
  async t => {
    const near = {demand: whole, dataRack: 'r0', estimateMs: 4000};
    const first = createTask('1', near, {priority: 0, acceptedAt: NOW - 4000});
    first.accepted.workspace = 'other';
    const second = createTask('2', near, {priority: 0, acceptedAt: NOW - 3900});
    const targets = createTargets(10, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      const run = createTask(
        `f${target.info.id}`,
        {demand: whole, estimateMs: 6000},
        {priority: 0},
      );
      addRun(run.units[0]!, target, NOW - 2000);
    }
    t.ok(isStarted(second, [first, second], targets));
  },
);

// Guards against urgent work that gets no capacity because a suspect of its shape, for which nothing is stopped, is before it.
t.test(
  'capacity is reclaimed for an urgent task behind a suspect of the same shape',
  async t => {
    const urgent = {demand: whole, estimateMs: 4000};
    const suspect = createTask('1', urgent, {
      priority: 0,
      acceptedAt: NOW - 2000,
    });
    suspect.units[0]!.lastCrashAt = NOW - 2500;
    suspect.units[0]!.progress.crashes = [
      {
        member: 0,
        count: 2,
        total: 2,
        minAge: 0,
        maxAge: 3000,
        incarnations: [],
      },
    ];
    const other = createTask('2', urgent, {
      priority: 0,
      acceptedAt: NOW - 1900,
    });
    const target = createTarget('a', 'r0', NOW);
    const running = createTask('3', {demand: whole}, {priority: 2});
    addRun(running.units[0]!, target, NOW - 500);
    const snapshot = createSnapshot([suspect, other, running], [target]);
    t.same(
      decide(snapshot, NOW).stops.map(({for: id}) => id),
      ['2'],
    );
  },
);

// Guards against targets that are held free for a unit that is not placed on them.
t.test(
  'a gang that waits for the rack of its data reserves no targets elsewhere',
  async t => {
    const targets = createTargets(20, 2, NOW);
    const runs = targets
      .slice(0, 2)
      .map(target => occupy(target, {demand: whole, estimateMs: 21_000}));
    for (const {units} of runs) {
      Object.assign(units[0]!.allocations[0]!, {percent: 95, percentAt: NOW});
    }
    // It waits a second for its rack, in which it fits; the other 18 targets are of no use to it.
    const gang = createTask('gang', {
      count: 2,
      isGang: true,
      demand: whole,
      dataRack: 'r0',
      estimateMs: 4000,
    });
    const task = createTask('task', {demand: whole}, {acceptedAt: NOW - 500});
    const others = Array.from({length: 17}, (_, index) =>
      createTask(`other-${index}`, {demand: whole}, {acceptedAt: NOW - 600}),
    );
    const jobs = [gang, ...others, task, ...runs];
    t.ok(isStarted(task, jobs, targets));
  },
);

// Guards against targets that stay reserved because long-running tasks are expected to end at any moment.
t.test(
  'no targets are reserved that only the end of a long-running task would free',
  async t => {
    const targets = createTargets(4, 4, NOW);
    const runs = targets.map(target => {
      const run = occupy(target, {isLongRunning: true, estimateMs: 1000});
      Object.assign(run.units[0]!.allocations[0]!, {
        percent: 100,
        percentAt: 1000,
      });
      return run;
    });
    const wide = {count: 4, isGang: true, demand: whole, estimateMs: 4000};
    const gang = createTask('gang', wide);
    const task = createTask('task', {}, {acceptedAt: NOW - 500});
    t.ok(isStarted(task, [gang, task, ...runs], targets));
  },
);

// Guards against a pool that is held free for a wide gang for longer than a job may wait while most of it is free.
t.test(
  'a task that has waited takes reserved capacity while most of the pool is free',
  async t => {
    const targets = createTargets(10, 10, NOW);
    const run = occupy(targets[0]!, {estimateMs: 50_000});
    const wide = {count: 10, isGang: true, demand: whole, estimateMs: 4000};
    const gang = createTask('gang', wide);
    const task = createOverdueTask('task', {}, {acceptedAt: NOW - 500});
    t.ok(isStarted(task, [gang, task, run], targets));
  },
);

// Guards against reservations that no longer hold when the pool is in use.
t.test(
  'a task that has waited takes no reserved capacity while most of the pool is in use',
  async t => {
    const targets = createTargets(4, 4, NOW);
    const runs = targets
      .slice(0, 3)
      .map(target =>
        occupy(target, {demand: {...whole, cpu: 64_000}, estimateMs: 50_000}),
      );
    const wide = {count: 4, isGang: true, demand: whole, estimateMs: 4000};
    const gang = createTask('gang', wide);
    const task = createOverdueTask('task', {}, {acceptedAt: NOW - 500});
    t.notOk(isStarted(task, [gang, task, ...runs], targets));
  },
);

// Guards against a pool whose targets all run suspects, so that nothing else starts until these are cleared.
t.test(
  'a task that has waited starts beside a suspect while most of the pool is free',
  async t => {
    const targets = createTargets(3, 3, NOW);
    const suspects = targets.map(target => {
      const run = occupy(target);
      run.units[0]!.progress.crashes = [
        {
          member: 0,
          count: 2,
          total: 2,
          minAge: 0,
          maxAge: 60_000,
          incarnations: [],
        },
      ];
      return run;
    });
    const early = createTask('early');
    t.notOk(isStarted(early, [early, ...suspects], targets));
    const late = createOverdueTask('late');
    t.ok(isStarted(late, [late, ...suspects], targets));
    const suspect = createOverdueTask('suspect');
    suspect.units[0]!.lastCrashAt = NOW - 2500;
    suspect.units[0]!.progress.crashes = [
      {
        member: 0,
        count: 2,
        total: 2,
        minAge: 0,
        maxAge: 3000,
        incarnations: [],
      },
    ];
    t.ok(isStarted(suspect, [suspect, ...suspects], targets));
  },
);

// Guards against a suspect that finds no empty target and waits for one although most of the capacity is free.
t.test(
  'a suspect that has waited since its run was last seen starts beside other work',
  async t => {
    const targets = createTargets(6, 3, NOW);
    const runs = targets.map(target => occupy(target));
    const suspect = createOverdueTask('suspect');
    // The crash was noticed a second after it.
    suspect.units[0]!.lastCrashAt = NOW - 1000;
    suspect.units[0]!.progress.crashes = [
      {
        member: 0,
        count: 1,
        total: 1,
        minAge: 0,
        maxAge: 3000,
        incarnations: [],
      },
    ];
    t.ok(isStarted(suspect, [suspect, ...runs], targets));
  },
);

// Guards against thousands of tasks that can never start and are always considered first.
t.test(
  'a task is considered behind thousands of tasks that no target can take',
  async t => {
    const values: Array<Partial<Step>> = [
      {requiredLabel: 'unknown'},
      {demand: {...whole, accelerators: 64}},
      {demand: {...whole, accelerators: 64}, maxPerTarget: 1},
    ];
    for (const impossible of values) {
      const job = createTask('1', {...impossible, count: 4000});
      const task = createTask('2', {}, {acceptedAt: NOW - 500});
      t.ok(isStarted(task, [job, task], createTargets(4, 2, NOW)));
    }
  },
);

// Guards against units of different shapes that can never start and fill the limit of each pass.
t.test(
  'a task is considered within a second behind thousands of jobs that no target can take',
  async t => {
    const jobs = Array.from({length: 3000}, (_, index) =>
      createTask(`${index}`, {requiredLabel: `unknown-${index}`}),
    );
    const task = createTask('task', {}, {acceptedAt: NOW - 500});
    const targets = createTargets(4, 2, NOW);
    const snapshot = createSnapshot([...jobs, task], targets);
    const started = new Set<string>();
    for (let pass = 0; pass < 12 && !started.has('task'); pass++) {
      const now = NOW + pass * 100;
      const {starts, obstacles} = decide(snapshot, now);
      starts.forEach(({unit}) => started.add(unit.job.id));
      for (const {unit, obstacle} of obstacles) {
        if (obstacle !== 'not-considered') {
          unit.triedAt = now;
        }
      }
    }
    t.ok(started.has('task'));
  },
);

// Guards against a pool of which most targets are avoided because many tasks failed by their own fault.
t.test('a hopeless job does not stop all other work', async t => {
  const targets = createTargets(10, 5, NOW);
  const tracker = new RunTracker(
    {onChange: () => undefined, onStop: () => undefined},
    new DurationEstimator(),
    new SilentLogger(),
  );
  const hopeless = createTask('hopeless', {count: 80});
  for (const [index, unit] of hopeless.units.entries()) {
    const target = targets[index % targets.length]!;
    addRun(unit, target, NOW - 200);
    const [allocation] = unit.allocations;
    allocation!.task = `hopeless.0.0.${index}`;
    const end = {number: 1, task: allocation!.task, run: 1, checkpoint: ''};
    tracker.onEnd(target, {...end, kind: 'failed'}, unit, NOW - 100);
  }
  targets.forEach(target =>
    [...target.allocations.values()].forEach(run => target.release(run)),
  );
  const task = createOverdueTask('task');
  t.ok(isStarted(task, [task], targets));
});

// Guards against a task that has failed or stalled on each target that it may use and is never placed again.
t.test('a task that has failed on every target starts again', async t => {
  const targets = createTargets(3, 3, NOW);
  const task = createOverdueTask('task');
  task.units[0]!.progress.failureCount = 1;
  task.units[0]!.lastFailureAt = NOW - 3000;
  targets.forEach(({info}) => task.units[0]!.avoidedTargets.add(info.id));
  t.ok(isStarted(task, [task], targets));
});

// Guards against a label whose only targets were avoided once, while others of the pool have room.
t.test(
  'a task that has stalled on every target with its label starts again',
  async t => {
    const targets = createTargets(8, 2, NOW);
    const task = createOverdueTask('task', {requiredLabel: 'r1'});
    ['t2', 't3'].forEach(id => task.units[0]!.avoidedTargets.add(id));
    t.ok(isStarted(task, [task], targets));
  },
);

// Guards against targets that are kept free for an urgent unit that is not placed on them.
t.test(
  'an urgent gang that waits for the rack of its data claims no targets elsewhere',
  async t => {
    const targets = createTargets(8, 2, NOW);
    const runs = targets
      .slice(0, 2)
      .map(target => occupy(target, {demand: whole, estimateMs: 21_000}));
    runs.forEach(({accepted}) => (accepted.terms.priority = 0));
    const gang = createTask(
      'gang',
      {count: 2, isGang: true, demand: whole, dataRack: 'r0', estimateMs: 4000},
      {priority: 0, acceptedAt: NOW},
    );
    const snapshot = createSnapshot([gang, ...runs], targets);
    const claimed = decide(snapshot, NOW).targetClaims.flatMap(({targets}) =>
      [...targets].map(({info}) => info.rack),
    );
    t.same(
      claimed.filter(rack => rack !== 'r0'),
      [],
    );
  },
);

// Guards against a run with a huge estimate that makes all targets it is on unusable.
t.test(
  'a run with an estimate beyond all bounds does not keep others out',
  async t => {
    const targets = createTargets(2, 2, NOW);
    const estimator = new DurationEstimator();
    for (let index = 0; index < 9; index++) {
      estimator.recordDuration('queue-1', 1000, 10_000);
    }
    const run = occupy(targets[0]!, {estimateMs: 1e308});
    // Restored from a checkpoint, so that its rate is not known.
    const [allocation] = run.units[0]!.allocations;
    Object.assign(allocation!, {percent: 100, firstPercent: 100});
    const wide = {count: 2, isGang: true, demand: whole, estimateMs: 4000};
    const gang = createTask('gang', wide);
    const odd = createTask('odd', {estimateMs: 1e308, demand: whole});
    const task = createTask(
      'task',
      {estimateMs: 4000},
      {acceptedAt: NOW - 500},
    );
    const jobs = [gang, task, run];
    t.ok(isStarted(task, jobs, targets, {estimator}));
    t.ok(isStarted(task, [...jobs, odd], targets, {estimator}));
  },
);
