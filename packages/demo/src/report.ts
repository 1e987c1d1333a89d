/** Prints what the demonstration saw. */
import type {JobView} from '@galenavalve/model';
import type {ScenarioResult} from './scenario.js';

/** Prints a line. */
export function printLine(line: string): void {
  console.log(line);
}

/** Prints the report; returns whether every promise held. */
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

function printJobs(answers: readonly JobView[]): void {
  printLine('');
  printLine(
    'request    workspace        domain  outcome    attempts  waited ms  last word',
  );
  for (const answer of answers) {
    const waited = waitedMs(answer);
    printLine(
      [
        answer.requestId.padEnd(10),
        answer.workspace.padEnd(16),
        answer.domain.padEnd(7),
        (answer.outcome ?? answer.phase).padEnd(10),
        String(answer.attempts).padStart(8),
        (waited === undefined ? '-' : String(waited)).padStart(10),
        ` ${answer.text ?? ''}`,
      ].join(' '),
    );
  }
}

function printFigures({
  finalJobs: answers,
  runs,
  takeoverMs,
}: ScenarioResult): void {
  const waits = answers.flatMap(answer => waitedMs(answer) ?? []);
  const urgent = answers
    .filter(answer => answer.urgent)
    .flatMap(answer => waitedMs(answer) ?? []);
  const starts = runs.filter(run => run.kind === 'started').length;
  printLine('');
  printLine(`jobs: ${answers.length}; starts on targets: ${starts}`);
  printLine(`submit to last start, all: ${describe(waits)}`);
  printLine(`submit to last start, urgent: ${describe(urgent)}`);
  printLine(`takeover after a killed scheduler: ${takeoverMs} ms`);
}

function waitedMs(answer: JobView): number | undefined {
  return answer.startedAt === undefined
    ? undefined
    : answer.startedAt - answer.submittedAt;
}

function describe(values: number[]): string {
  if (values.length === 0) {
    return 'none';
  }
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return `p50 ${at(0.5)} ms, p99 ${at(0.99)} ms`;
}
