import t from 'tap';
import {createActiveJob} from '@galenavalve/dispatch';
import {findMaxRunCount} from '../src/active_job.js';
import {addDueOccurrences, updateJobOutcome} from '../src/job_lifecycle.js';
import {createJob, createStep} from './fixtures.js';

const WIDEST_JOB_TASKS = 64 * 4096;

// Guards against a job so wide that its end throws and is not reported.
t.test('the run count of the widest job can be computed', async t => {
  const job = createJob('1', createStep({isGang: false, count: 1}));
  const unit = job.units[0]!;
  unit.progress.run = 3;
  const units = Array.from({length: WIDEST_JOB_TASKS}, () => unit);
  t.equal(findMaxRunCount({...job, units}), 3);
});

// Guards against a single schedule, all of whose times are due, that takes leader after leader out of memory.
t.test(
  'a schedule with any number of due times opens a limited number of occurrences, and the next ones as they end',
  async t => {
    const {accepted} = createJob('1', createStep({count: 1}));
    const schedule = {times: 1000, startAt: 0, intervalMs: 0};
    const spec = {...accepted.spec, schedule};
    const entry = {id: '1', isCancelled: false, isKnownComplete: false};
    const job = createActiveJob({...entry, job: {...accepted, spec}}, 0, 0);
    let passes = 0;
    while (job.progress.outcome === 'active' && passes < 10) {
      passes++;
      addDueOccurrences(job, 1);
      t.ok(job.progress.occurrences.length <= 256);
      for (const unit of job.units) {
        unit.progress.isDone = true;
      }
      updateJobOutcome(job, 1);
    }
    t.equal(job.progress.outcome, 'complete');
    t.equal(passes, 4);
  },
);
