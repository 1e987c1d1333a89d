import t from 'tap';
import {parseLogs, readLogs} from '../src/queries/log_lines.js';
import {createLossReport} from '../src/queries/show_losses.js';

/** Creates a line of job `job` that was logged `second` seconds after eight. */
function createLine(job: string, second: number, values: object): string {
  return JSON.stringify({
    timestamp: new Date(Date.UTC(2026, 11, 4, 8) + second * 1000).toISOString(),
    instance: 'front-1',
    domain: 'a',
    level: 'info',
    job,
    queue: 'exports',
    workspace: 'w',
    ...values,
  });
}

const accepted = {message: 'submitted', answer: {kind: 'accepted'}};
const refused = {
  message: 'submitted',
  answer: {kind: 'refused', problem: 'the log is not responding'},
};
const placed = {message: 'placed', step: 0, unit: 0};
const ended = {message: 'job-ended', outcome: 'complete', objectiveMs: 3000};

t.test('a refused job is counted once, by the problem of its answer', t => {
  const log = [createLine('1', 0, refused), createLine('1', 1, refused)];
  const {jobs, sums} = createLossReport(parseLogs([log.join('\n')]));
  t.equal(jobs.refused, 1);
  t.match(sums, [
    {cause: 'refused: the log is not responding', jobs: 1, seconds: 1},
  ]);
  t.end();
});

t.test('the time of a late job is split by cause', t => {
  const log = [
    createLine('1', 0, refused),
    createLine('1', 1, accepted),
    createLine('1', 1, {
      message: 'urgent-waits',
      reason: 'no units can be stopped to free enough capacity',
    }),
    createLine('1', 1.5, placed),
    createLine('1', 3.5, {
      message: 'stopping',
      step: 0,
      unit: 0,
      reason: 'the run makes no progress',
    }),
    createLine('1', 4, placed),
    createLine('1', 6, ended),
  ];
  const {jobs, sums} = createLossReport(parseLogs([log.join('\n')]));
  t.equal(jobs.late, 1);
  t.same(
    new Map(sums.map(({cause, seconds}) => [cause, seconds])),
    new Map([
      ['waiting: refused before', 1],
      ['waiting: nothing can be stopped', 0.5],
      ['run stopped: stalled', 2],
      ['waiting: capacity or order', 0.5],
    ]),
  );
  t.end();
});

t.test('a wait that spans a takeover is the takeover', t => {
  const log = [
    createLine('1', 0, accepted),
    createLine('', 2, {message: 'leadership-held', job: undefined}),
    createLine('1', 2.5, placed),
    createLine('1', 5, ended),
  ];
  const {sums} = createLossReport(parseLogs([log.join('\n')]), 'queue');
  t.match(sums, [
    {cause: 'waiting: takeover', group: 'exports', jobs: 1, seconds: 2.5},
  ]);
  t.end();
});

t.test('a job in time is no loss, and unreadable lines are counted', t => {
  const log = [
    createLine('1', 0, accepted),
    createLine('1', 0, placed),
    createLine('1', 2, ended),
    '{"timestamp":"2026-12-04T08',
    'text of another program',
  ];
  const report = createLossReport(parseLogs([log.join('\n')]));
  t.same(report.losses, []);
  t.equal(report.unreadable, 1);
  t.end();
});

t.test('a log that cannot be read is an error that names the file', t => {
  t.throws(() => readLogs(['no-such-file.log']), {code: 'file-unreadable'});
  t.end();
});
