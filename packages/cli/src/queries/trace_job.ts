/**
 * Implements `galenavalve trace`, which merges the log lines of one job from
 * the logs of all instances.
 */
import {Failure} from '@galenavalve/shared';
import {ExitCode} from '../exit_code.js';
import {renderTable} from '../output/table.js';
import type {OfflineCommandContext} from '../command_context.js';
import {type LogLine, readLogs} from './log_lines.js';

/** Fields that the column "details" leaves out. */
const COLUMN_FIELDS = new Set(['domain', 'level', 'job']);

/** Length limit of the column "details"; longer texts are cut off. */
const MAX_DETAILS_CHARACTERS = 160;

/** A log line of a job. */
export interface TracedLine {
  timestamp: string;
  instance: string;
  message: string;
  /** The other fields of the line. */
  details: Record<string, unknown>;
}

/**
 * Prints the lines of a job from log files in chronological order. Throws
 * `not-found` if there are none.
 */
export async function traceJob(
  {output}: OfflineCommandContext,
  jobId: string,
  files: readonly string[],
): Promise<ExitCode> {
  const lines = findLines(readLogs(files).lines, jobId);
  if (lines.length === 0) {
    throw new Failure('not-found', {kind: 'a log line of job', id: jobId});
  }
  output.printResult(lines, renderTrace);
  return ExitCode.ok;
}

/** Returns the lines of a job. */
export function findLines(
  lines: readonly LogLine[],
  jobId: string,
): TracedLine[] {
  return lines
    .filter(({job}) => job === jobId)
    .map(({timestamp, instance, message, ...fields}) => ({
      timestamp,
      instance,
      message,
      details: Object.fromEntries(
        Object.entries(fields).filter(([name]) => !COLUMN_FIELDS.has(name)),
      ),
    }));
}

function renderTrace(lines: readonly TracedLine[]): string {
  return renderTable(
    [
      {title: 'time', text: line => line.timestamp},
      {title: 'instance', text: line => line.instance},
      {title: 'event', text: line => line.message},
      {
        title: 'details',
        text: line =>
          JSON.stringify(line.details).slice(0, MAX_DETAILS_CHARACTERS),
      },
    ],
    lines,
  );
}
