/** Prints the report of the demonstration. */
import type {JobView} from '@galenavalve/model';
import type {ScenarioResult} from './scenario.js';

/** Prints a line to standard output. */
export function printLine(line: string): void {
  console.log(line);
}

/** Prints the report and returns whether every promise held. */
export function printReport(result: ScenarioResult): boolean {
  printJobs(result.finalJobs);
  printFigures(result);
  printLine('');
  for (const {promise, checked, violations} of result.promiseResults) {
    printLine(
      `${violations.length === 0 ? 'held  ' : 'BROKEN'}  ${promise} (${checked} checked)`,
    );
    for (const violation of violations) {
      printLine(`        ${violation}`);
    }
  }
  return result.promiseResults.every(({violations}) => violations.length === 0);
}

function printJobs(jobs: readonly JobView[]): void {
  printLine('');
  printLine(
    'request    workspace        domain  outcome    attempts  waited ms  last message',
  );
  for (const job of jobs) {
    const waitMs = computeWaitMs(job);
    printLine(
      [
        job.requestId.padEnd(10),
        job.workspace.padEnd(16),
        job.domain.padEnd(7),
        (job.outcome ?? job.phase).padEnd(10),
        String(job.attempts).padStart(8),
        (waitMs === undefined ? '-' : String(waitMs)).padStart(10),
        ` ${job.text ?? ''}`,
      ].join(' '),
    );
  }
}

function printFigures({finalJobs, runs, takeoverMs}: ScenarioResult): void {
  const waits = finalJobs.flatMap(job => computeWaitMs(job) ?? []);
  const urgentWaits = finalJobs
    .filter(job => job.urgent)
    .flatMap(job => computeWaitMs(job) ?? []);
  const starts = runs.filter(run => run.kind === 'started').length;
  printLine('');
  printLine(`jobs: ${finalJobs.length}; starts on targets: ${starts}`);
  printLine(`submit to last start, all: ${formatPercentiles(waits)}`);
  printLine(`submit to last start, urgent: ${formatPercentiles(urgentWaits)}`);
  printLine(`takeover after a killed scheduler: ${takeoverMs} ms`);
}

/** Returns the time from submission to the last start; undefined before a start. */
function computeWaitMs(job: JobView): number | undefined {
  return job.startedAt === undefined
    ? undefined
    : job.startedAt - job.submittedAt;
}

/** Formats median and 99th percentile of times in milliseconds. */
function formatPercentiles(values: number[]): string {
  if (values.length === 0) {
    return 'none';
  }
  const sorted = [...values].sort((a, b) => a - b);
  const getQuantile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return `p50 ${getQuantile(0.5)} ms, p99 ${getQuantile(0.99)} ms`;
}
