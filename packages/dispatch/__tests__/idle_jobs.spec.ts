import t from 'tap';
import {IdleJobs, TargetState, createAllocation} from '@galenavalve/dispatch';
import {addRun, createJob, createStep, createTarget} from './fixtures.js';

interface Line {
  message: string;
  fields: Record<string, unknown>;
}

function createMonitor(): {monitor: IdleJobs; lines: Line[]} {
  const lines: Line[] = [];
  const write = (message: string, fields = {}) => {
    lines.push({message, fields});
  };
  const logger = {debug: write, info: write, warn: write, error: write};
  return {monitor: new IdleJobs(logger), lines};
}

function createSingleTaskJob(id: string) {
  return createJob(id, createStep({count: 1, isGang: false}));
}

/** Searches every 500 ms from 0 until `end`. */
function searchUntil(
  end: number,
  monitor: IdleJobs,
  jobs: Parameters<IdleJobs['onTick']>[0],
  targets: readonly TargetState[],
): void {
  for (let now = 0; now <= end; now += 500) {
    monitor.onTick(jobs, targets, now);
  }
}

t.test('idle jobs', async t => {
  await t.test('a waiting unit is reported with its obstacle', async t => {
    const {monitor, lines} = createMonitor();
    const job = createSingleTaskJob('a');
    job.units[0]!.obstacle = 'locality';
    searchUntil(4000, monitor, [job], [createTarget('t1', 'r', 4000)]);
    t.equal(lines.length, 1, 'once per cause');
    t.match(lines[0], {
      message: 'job-idle',
      fields: {job: 'a', cause: 'locality', targets: {freeShare: 1}},
    });
    t.strictSame([...monitor.countByCause()], [['locality', 1]]);
  });

  await t.test(
    'a run that is not released is told from a wait, with its target',
    async t => {
      const {monitor, lines} = createMonitor();
      const job = createSingleTaskJob('a');
      const target = createTarget('t1', 'r', 0);
      addRun(job.units[0]!, target, 0);
      job.units[0]!.phase = 'stopping';
      target.isRegistered = false;
      searchUntil(2000, monitor, [job], [target, createTarget('t2', 'r', 0)]);
      t.match(lines, [
        {
          fields: {
            cause: 'unreleased-run',
            allocations: [{target: 't1@1', isRegistered: false}],
          },
        },
      ]);
    },
  );

  await t.test('a job with a run is not idle', async t => {
    const {monitor, lines} = createMonitor();
    const job = createJob('a', createStep({count: 2, isGang: false}));
    addRun(job.units[0]!, createTarget('t1', 'r', 0), 0);
    searchUntil(4000, monitor, [job], [createTarget('t2', 'r', 0)]);
    t.same(lines, []);
    t.equal(monitor.countByCause().size, 0);
  });

  await t.test(
    'jobs that wait for each other are counted, not logged',
    async t => {
      const {monitor, lines} = createMonitor();
      const job = createSingleTaskJob('a');
      job.units[0]!.obstacle = 'capacity';
      const target = createTarget('t1', 'r', 0);
      target.allocate(
        createAllocation(
          {
            task: 'other',
            run: 1,
            demand: target.info.capacity,
            target,
            unit: undefined,
            memberIndex: 0,
            state: 'confirmed',
            epoch: 1,
          },
          0,
        ),
      );
      searchUntil(4000, monitor, [job], [target]);
      t.same(lines, []);
      t.strictSame([...monitor.countByCause()], [['capacity', 1]]);
      target.allocations.forEach(allocation => target.release(allocation));
      monitor.onTick([job], [target], 4500);
      t.equal(lines.length, 1, 'logged once capacity is free');
    },
  );
});
