/** Reads the JSON lines that instances log. */
import {readFileSync} from 'node:fs';
import * as z from 'zod';
import {Failure, describeError} from '@galenavalve/shared';

/** Schema of the fields that every line has; the others depend on the event. */
const logLineSchema = z.looseObject({
  timestamp: z.string(),
  instance: z.string(),
  message: z.string(),
  domain: z.string().optional(),
  job: z.string().optional(),
});

/** One line of a log. `message` is the name of the event. */
export type LogLine = z.infer<typeof logLineSchema>;

/** The readable lines of logs in chronological order, and the number of the others. */
export interface LogContent {
  lines: LogLine[];
  unreadable: number;
}

/** Reads log files. Throws `file-unreadable` if a file cannot be read. */
export function readLogs(files: readonly string[]): LogContent {
  return parseLogs(files.map(readFile));
}

/** Parses the texts of logs. */
export function parseLogs(texts: readonly string[]): LogContent {
  const lines: LogLine[] = [];
  let unreadable = 0;
  for (const text of texts.flatMap(content => content.split('\n'))) {
    if (!text.includes('{')) {
      continue;
    }
    const line = parseLogLine(text);
    if (line) {
      lines.push(line);
    } else {
      unreadable++;
    }
  }
  lines.sort((a, b) => a.timestamp.localeCompare(b.timestamp));
  return {lines, unreadable};
}

/** Parses one line; skips text before its JSON object. Returns undefined for a line that log rotation cut off. */
export function parseLogLine(text: string): LogLine | undefined {
  try {
    const json: unknown = JSON.parse(text.slice(text.indexOf('{')));
    const parsed = logLineSchema.safeParse(json);
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function readFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new Failure('file-unreadable', {file, problem: describeError(error)});
  }
}
