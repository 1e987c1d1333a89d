import t from 'tap';
import {findMaxRunCount} from '../src/active_job.js';
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
