import t from 'tap';
import {parseLogs} from '../src/queries/log_lines.js';
import {findLines} from '../src/queries/trace_job.js';

const JOB_ID = '5c0e7a21d94b36f8';

function createLine(values: object): string {
  return JSON.stringify({
    timestamp: '2026-12-04T08:00:00.000Z',
    instance: 'front-1',
    domain: 'd',
    level: 'info',
    message: 'placed',
    job: JOB_ID,
    ...values,
  });
}

t.test(
  'the lines of a refused, a late and a repeated request are found by job id alone',
  t => {
    const log = [
      createLine({message: 'submitted', answer: {kind: 'refused'}}),
      createLine({message: 'log-unreachable', job: undefined}),
      createLine({
        message: 'urgent-waits',
        reason: 'no units can be stopped to free enough capacity',
      }),
      createLine({message: 'run-failed', failures: 1}),
      createLine({job: '0000000000000001'}),
      createLine({message: 'job-ended', afterMs: 9000}),
      `12.5 front-1 ${createLine({message: 'placed', run: 2})}`,
      '{"cut',
    ].join('\n');
    const lines = findLines(parseLogs([log]).lines, JOB_ID);
    t.same(
      lines.map(({message}) => message),
      ['submitted', 'urgent-waits', 'run-failed', 'job-ended', 'placed'],
    );
    t.same(lines[0]!.details, {answer: {kind: 'refused'}});
    t.end();
  },
);
