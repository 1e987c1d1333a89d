/** Implements `galenavalve losses`: which jobs were refused, failed or late, and why, from the logs of all instances. */
import {ExitCode} from '../exit_code.js';
import {renderTable} from '../output/table.js';
import type {OfflineCommandContext} from '../command_context.js';
import {type JobLoss, findJobLosses} from './job_losses.js';
import {type LogContent, readLogs} from './log_lines.js';

/** By what the losses can be summed, beside the cause. */
export const LOSS_GROUPINGS = [
  'queue',
  'workspace',
  'domain',
  'second',
] as const;

/** What the losses are summed by. */
export type LossGrouping = (typeof LOSS_GROUPINGS)[number];

/** Sum of the losses of one cause, in one group if there is a grouping. */
export interface LossSum {
  cause: string;
  group?: string;
  /** Jobs that the cause affected; a job may have several causes. */
  jobs: number;
  seconds: number;
}

/** Losses that logs show. */
export interface LossReport {
  jobs: Record<JobLoss['result'], number>;
  sums: LossSum[];
  losses: JobLoss[];
  /** Number of lines that could not be read. */
  unreadable: number;
}

/** Prints the losses that the logs in `files` show. */
export async function showLosses(
  {output}: OfflineCommandContext,
  files: readonly string[],
  grouping?: LossGrouping,
): Promise<ExitCode> {
  output.printResult(createLossReport(readLogs(files), grouping), renderReport);
  return ExitCode.ok;
}

/** Sums the losses by cause, and by group if there is a grouping; the largest sums first. */
export function createLossReport(
  {lines, unreadable}: LogContent,
  grouping?: LossGrouping,
): LossReport {
  const losses = findJobLosses(lines);
  const jobs = {refused: 0, unresolved: 0, failed: 0, late: 0};
  const sums = new Map<string, LossSum & {ids: Set<string>}>();
  for (const loss of losses) {
    jobs[loss.result]++;
    const group = grouping && getGroup(loss, grouping);
    for (const {cause, durationMs} of loss.causes) {
      const key = `${group ?? ''}|${cause}`;
      const sum = sums.get(key) ?? {
        cause,
        group,
        jobs: 0,
        seconds: 0,
        ids: new Set<string>(),
      };
      sums.set(key, sum);
      sum.ids.add(loss.job);
      sum.seconds += durationMs / 1000;
    }
  }
  const sorted = [...sums.values()]
    .map(({cause, group, seconds, ids}) => ({
      cause,
      group,
      jobs: ids.size,
      seconds: Math.round(seconds * 100) / 100,
    }))
    .sort((a, b) => b.jobs - a.jobs || b.seconds - a.seconds);
  return {jobs, sums: sorted, losses, unreadable};
}

function getGroup(loss: JobLoss, grouping: LossGrouping): string {
  return grouping === 'second' ? loss.submittedAt.slice(0, 19) : loss[grouping];
}

function renderReport({jobs, sums, unreadable}: LossReport): string {
  const hasGroups = sums.some(({group}) => group !== undefined);
  const columns = [
    {title: 'cause', text: (sum: LossSum) => sum.cause},
    ...(hasGroups
      ? [{title: 'group', text: (sum: LossSum) => sum.group ?? ''}]
      : []),
    {title: 'jobs', text: (sum: LossSum) => String(sum.jobs), alignRight: true},
    {
      title: 'seconds',
      text: (sum: LossSum) => sum.seconds.toFixed(2),
      alignRight: true,
    },
  ];
  const counts = Object.entries(jobs)
    .map(([result, count]) => `${count} ${result}`)
    .join(', ');
  return [
    counts,
    ...(unreadable > 0 ? [`${unreadable} lines could not be read`] : []),
    renderTable(columns, sums),
  ].join('\n');
}
