import t from 'tap';
import {LedgerState, applyEntry} from '../src/index.js';
import {
  START_TIME_MS,
  TERM,
  cancel,
  claim,
  createRecord,
  createState,
  finish,
  fold,
  place,
  start,
  submit,
  unplace,
} from './fixtures.js';

t.test('a request', async t => {
  t.test('creates one job, however often it is recorded', async t => {
    const state = createState();
    t.equal(fold(state, submit()).accepted, true);
    const again = fold(state, {...submit(), jobId: 'j2'} as never);
    t.match(again, {accepted: true, duplicate: true});
    t.equal(state.getJobByRequest('r-j1')?.jobId, 'j1');
    t.equal(state.getJob('j2'), undefined);
  });

  t.test('with a used id and another body is a conflict', async t => {
    const state = createState();
    fold(state, submit());
    const other = fold(state, submit('j2', {requestId: 'r-j1', urgent: true}));
    t.match(other, {accepted: false, rejection: 'request-conflict'});
  });

  t.test('that was withdrawn before never becomes a job', async t => {
    const state = createState();
    fold(state, {type: 'withdrawn', requestId: 'r-j1'});
    t.equal(fold(state, submit()).rejection, 'request-withdrawn');
  });

  t.test('older than the request window is rejected as expired', async t => {
    const state = createState({requestWindow: 1000});
    fold(state, cancel(), {at: START_TIME_MS + 5000, by: 'i2'});
    fold(state, cancel(), {at: START_TIME_MS + 5000, by: 'i1'});
    t.equal(fold(state, submit()).problem?.code, 'request-expired');
  });

  t.test('over the queue limit of its workspace is rejected', async t => {
    const state = createState();
    for (let i = 0; i < 50; i++) {
      fold(state, submit(`j${i}`));
    }
    t.equal(fold(state, submit('j50')).problem?.code, 'workspace-limit');
  });
});

t.test('one writer with a wrong clock does not change log time', async t => {
  const state = createState();
  fold(state, cancel(), {at: START_TIME_MS + 10, by: 'i2'});
  fold(state, cancel(), {at: START_TIME_MS * 2, by: 'i3'});
  t.equal(state.logTime.value, START_TIME_MS + 10);
});

t.test('an attempt', async t => {
  t.test('is accepted once, and only under the current term', async t => {
    const state = createState();
    fold(state, submit());
    const other = {...TERM, instance: 'i9'};
    t.equal(fold(state, place('j1', 1, other)).rejection, 'stale-term');
    t.equal(fold(state, place('j1', 2)).rejection, 'wrong-attempt');
    t.equal(fold(state, place()).accepted, true);
    t.equal(fold(state, place()).rejection, 'job-not-queued');
    t.equal([...state.listActiveJobs('d1')].length, 1);
  });

  t.test('is rejected from a scheduler that was replaced', async t => {
    const state = createState();
    fold(state, submit());
    fold(state, claim({log: 2, outage: 0, instance: 'i2'}));
    t.equal(fold(state, place()).rejection, 'stale-term');
  });

  t.test('that may have run ends a job that is not repeatable', async t => {
    const state = createState();
    fold(state, submit('j1', {repeatable: false}));
    fold(state, place());
    const result = fold(state, unplace(true));
    t.equal(result.releasedAssignments?.length, 1);
    t.match(state.getJob('j1'), {phase: 'finished', outcome: 'lost'});
  });

  t.test('that did not run is retried with the next number', async t => {
    const state = createState();
    fold(state, submit('j1', {repeatable: false}));
    fold(state, place());
    fold(state, unplace(false));
    t.equal(fold(state, place()).rejection, 'wrong-attempt');
    t.equal(fold(state, place('j1', 2)).accepted, true);
  });

  t.test('is rejected on targets that its workspace may not use', async t => {
    const state = createState();
    fold(state, submit());
    const value = {...state.getTarget('t1')!, permittedWorkspaces: []};
    const edits = [{entity: 'target/t1', baseVersion: 1, value}];
    const change = {changeId: 'permit', author: 'op', edits};
    fold(state, {type: 'configured', change});
    t.equal(fold(state, place()).rejection, 'not-permitted');
  });

  t.test('needs an approval if the workspace requires one', async t => {
    const state = createState();
    const value = {...state.getWorkspace('ws1')!, requiresApproval: true};
    fold(state, {
      type: 'configured',
      change: {
        changeId: 'approval',
        author: 'op',
        edits: [{entity: 'workspace/ws1', baseVersion: 1, value}],
      },
    });
    fold(state, submit());
    t.equal(fold(state, place()).rejection, 'not-approved');
    fold(state, {type: 'approved', jobId: 'j1', author: 'op'});
    t.equal(fold(state, place()).accepted, true);
  });
});

t.test('a job that ran is never recorded as "not run"', async t => {
  const state = createState();
  fold(state, submit());
  fold(state, place());
  fold(state, start());
  t.equal(fold(state, finish('not-run')).rejection, 'wrong-outcome');
  t.equal(fold(state, finish('succeeded')).accepted, true);
  t.equal(fold(state, finish('succeeded')).rejection, 'job-finished');
  t.strictSame(state.getJob('j1')?.results, ['a', {b: 1}]);
});

t.test('a cancelled job', async t => {
  t.test('ends at once while it is queued', async t => {
    const state = createState();
    fold(state, submit());
    fold(state, cancel());
    t.equal(state.getJob('j1')?.outcome, 'cancelled');
  });

  t.test('ends when its attempt has been stopped', async t => {
    const state = createState();
    fold(state, submit());
    fold(state, place());
    fold(state, cancel());
    t.equal(state.getJob('j1')?.cancelRequested, true);
    fold(state, unplace(true));
    t.equal(state.getJob('j1')?.outcome, 'cancelled');
  });
});

t.test('results beyond the size limit are dropped, oldest first', async t => {
  const state = createState({resultBytes: 20});
  for (const id of ['j1', 'j2', 'j3']) {
    fold(state, submit(id));
    fold(state, place(id));
    fold(state, finish('succeeded', id));
  }
  const results = ['j1', 'j2', 'j3'].map(id => state.getJob(id)?.results);
  t.strictSame(results, [undefined, undefined, ['a', {b: 1}]]);
  t.ok(state.getJob('j1')?.resultHash, 'the hash is retained');
  t.equal(
    state.getJob('j1')?.finishedOffset,
    4,
    'the offset of the results in the log is retained',
  );
});

t.test('an invalid record is skipped and counted', async t => {
  const state = new LedgerState();
  const result = applyEntry(state, {offset: 0, value: {v: 9}});
  t.equal(result.problem?.code, 'record-invalid');
  applyEntry(state, {
    offset: 1,
    value: {...createRecord(claim()), type: 'unknown'},
  });
  t.equal(state.skippedCount, 2);
  t.equal(state.nextOffset, 2);
});
