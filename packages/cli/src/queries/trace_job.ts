/**
 * Implements `galenavalve trace`, which merges the log lines of one job from
 * the logs of all instances.
 */
import {readFileSync} from 'node:fs';
import {Failure} from '@galenavalve/shared';
import {ExitCode} from '../exit_code.js';
import {renderTable} from '../output/table.js';
import type {OfflineCommandContext} from '../command_context.js';

/** Fields that the column "details" leaves out. */
const COLUMN_FIELDS = new Set([
  'timestamp',
  'instance',
  'message',
  'domain',
  'level',
  'job',
]);

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
  const lines = files.flatMap(file =>
    findLines(readFileSync(file, 'utf8'), jobId),
  );
  if (lines.length === 0) {
    throw new Failure('not-found', {kind: 'a log line of job', id: jobId});
  }
  lines.sort((a, b) => a.timestamp.localeCompare(b.timestamp));
  output.printResult(lines, renderTrace);
  return ExitCode.ok;
}

/**
 * Returns the lines of a job in one log. Skips all other lines, and text before
 * the JSON object of a line.
 */
export function findLines(log: string, jobId: string): TracedLine[] {
  const lines: TracedLine[] = [];
  for (const text of log.split('\n')) {
    const line = text.includes(jobId) ? parseLine(text) : undefined;
    if (line && line.job === jobId) {
      lines.push({
        timestamp: String(line.timestamp),
        instance: String(line.instance),
        message: String(line.message),
        details: Object.fromEntries(
          Object.entries(line).filter(([name]) => !COLUMN_FIELDS.has(name)),
        ),
      });
    }
  }
  return lines;
}

function parseLine(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text.slice(text.indexOf('{'))) as Record<string, unknown>;
  } catch {
    // Ignores a line that log rotation cut off.
    return undefined;
  }
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
