/** Finds jobs that were refused, failed or ended late, and splits their time by cause. */
import type {Milliseconds} from '@galenavalve/shared';
import type {LogLine} from './log_lines.js';

/** Why time of a job was lost. */
export interface LossCause {
  cause: string;
  durationMs: Milliseconds;
}

/** A job that its caller did not get in time. */
export interface JobLoss {
  job: string;
  queue: string;
  workspace: string;
  /** Failure domain of the instance that the caller called first. */
  domain: string;
  submittedAt: string;
  result: 'refused' | 'unresolved' | 'failed' | 'late';
  /** The causes in chronological order; a late job may also have run longer than its caller estimated. */
  causes: LossCause[];
}

/** Stops of runs by the beginning of their logged reason. */
const STOP_CAUSES: ReadonlyArray<readonly [string, string]> = [
  ['urgent job', 'run stopped: urgent work'],
  ['a member ended', 'run stopped: a member ended'],
  ['its target leaves', 'run stopped: target leaves'],
  ['the run makes no progress', 'run stopped: stalled'],
  ['the run has become slow', 'run stopped: slow target'],
  ['a member could not be started', 'run stopped: start failed'],
  ['the lease', 'run stopped: target lost'],
  ['the target no longer lists', 'run stopped: target lost'],
];

/** Waits by the beginning of the logged reason. */
const WAIT_CAUSES: ReadonlyArray<readonly [string, string]> = [
  ['capacity is being freed', 'waiting: capacity is being freed'],
  ['freeing capacity would cost', 'waiting: freeing capacity costs too much'],
  ['no units can be stopped', 'waiting: nothing can be stopped'],
  ['some targets have not listed', 'waiting: takeover'],
];

/** Finds the losses in lines that are in chronological order. */
export function findJobLosses(lines: readonly LogLine[]): JobLoss[] {
  const byJob = new Map<string, LogLine[]>();
  for (const line of lines) {
    if (line.job !== undefined) {
      const known = byJob.get(line.job);
      if (known) {
        known.push(line);
      } else {
        byJob.set(line.job, [line]);
      }
    }
  }
  const takeovers = lines.filter(({message}) => message === 'leadership-held');
  return [...byJob.values()].flatMap(
    jobLines => findJobLoss(jobLines, takeovers) ?? [],
  );
}

function findJobLoss(
  lines: readonly LogLine[],
  takeovers: readonly LogLine[],
): JobLoss | undefined {
  const submissions = lines.filter(({message}) => message === 'submitted');
  const first = submissions[0];
  if (!first) {
    return undefined;
  }
  const answers = submissions.map(line => readAnswer(line));
  const accepted = submissions.find(
    (_, index) => answers[index]!.kind === 'accepted',
  );
  const describe = (
    result: JobLoss['result'],
    causes: LossCause[],
  ): JobLoss => ({
    job: first.job!,
    queue: String(first['queue']),
    workspace: String(first['workspace']),
    domain: first.domain ?? '',
    submittedAt: first.timestamp,
    result,
    causes,
  });
  const start = lines.find(({message}) => message === 'placed');
  if (!accepted && !start) {
    const last = answers.at(-1)!;
    const durationMs = diff(first, submissions.at(-1)!);
    const result = last.kind === 'refused' ? 'refused' : 'unresolved';
    return describe(result, [
      {cause: `${result}: ${last.problem}`, durationMs},
    ]);
  }
  const end = lines.find(({message}) => message === 'job-ended');
  if (end?.['outcome'] === 'failed') {
    return describe('failed', splitTime(lines, first, end, takeovers));
  }
  const isLate =
    end?.['outcome'] === 'complete' &&
    diff(first, end) > Number(end['objectiveMs']);
  return isLate
    ? describe('late', splitTime(lines, first, end, takeovers))
    : undefined;
}

/** Splits the time from the first submission to the end of a job; leaves out the time of the run that succeeded. */
function splitTime(
  lines: readonly LogLine[],
  first: LogLine,
  end: LogLine,
  takeovers: readonly LogLine[],
): LossCause[] {
  const causes: LossCause[] = [];
  let since = first;
  let waitCause = 'waiting: refused before';
  let runs = new Map<string, LogLine>();
  for (const line of lines) {
    const unit = `${String(line['step'])}.${String(line['unit'])}`;
    if (line.message === 'submitted' && readAnswer(line).kind === 'accepted') {
      addCause(causes, waitCause, diff(since, line));
      since = line;
      waitCause = 'waiting: capacity or order';
    } else if (line.message === 'urgent-waits') {
      waitCause = classify(WAIT_CAUSES, String(line['reason']), waitCause);
    } else if (line.message === 'placed') {
      if (runs.size === 0) {
        const isTakeover = takeovers.some(
          ({timestamp}) =>
            timestamp > since.timestamp && timestamp <= line.timestamp,
        );
        const cause = isTakeover ? 'waiting: takeover' : waitCause;
        addCause(causes, cause, diff(since, line));
      }
      waitCause = 'waiting: capacity or order';
      runs = new Map(runs).set(unit, line);
    } else if (line.message === 'stopping' || line.message === 'run-failed') {
      const run = runs.get(unit);
      if (run) {
        const cause =
          line.message === 'run-failed'
            ? 'run failed'
            : classify(
                STOP_CAUSES,
                String(line['reason']),
                'run stopped: other',
              );
        addCause(causes, cause, diff(run, line));
        runs.delete(unit);
        since = line;
      }
    }
  }
  const lastRun = [...runs.values()].at(-1);
  if (lastRun?.['isFar'] === true) {
    addCause(causes, 'ran with the locality penalty', diff(lastRun, end));
  }
  return causes;
}

function addCause(
  causes: LossCause[],
  cause: string,
  durationMs: Milliseconds,
): void {
  if (durationMs > 0) {
    causes.push({cause, durationMs});
  }
}

function classify(
  table: ReadonlyArray<readonly [string, string]>,
  reason: string,
  other: string,
): string {
  return table.find(([prefix]) => reason.startsWith(prefix))?.[1] ?? other;
}

function readAnswer(line: LogLine): {kind: string; problem: string} {
  const answer = line['answer'] as {kind?: string; problem?: string};
  return {kind: answer?.kind ?? '', problem: answer?.problem ?? ''};
}

function diff(from: LogLine, to: LogLine): Milliseconds {
  return Date.parse(to.timestamp) - Date.parse(from.timestamp);
}
