/** Finds snapshots in the records that the log retains. */
import {record as recordSchema} from '@galenavalve/model';
import {type Milliseconds, isFailure} from '@galenavalve/shared';
import type {Log, LogEntry, LogPage} from '../log.js';
import {ChunkCollector} from './chunks.js';
import type {Snapshot} from './codec.js';

/** Offsets that the log retains. */
export interface LogRange {
  oldestOffset: number;
  endOffset: number;
}

/** Page size and timeout of the reads. */
export interface ScanOptions {
  /** Largest number of entries of one read. */
  pageLimit: number;
  /** Timeout of one read in milliseconds. */
  readTimeout: Milliseconds;
}

/** Reads which offsets the log retains. Rethrows errors of the log. */
export async function readLogRange(
  log: Log,
  options: ScanOptions,
): Promise<LogRange> {
  try {
    return await readPage(log, 0, 1, options);
  } catch (error) {
    if (!isFailure(error, 'offset-expired')) {
      throw error;
    }
    return readPage(log, Number(error.details['oldest']), 1, options);
  }
}

/**
 * Yields complete snapshots, latest first, by reading pages backwards from the
 * end of the log. Stops at the oldest retained record; pages that expire during
 * the scan are skipped.
 */
export async function* findSnapshots(
  log: Log,
  range: LogRange,
  options: ScanOptions,
): AsyncGenerator<Snapshot> {
  const collector = new ChunkCollector();
  let end = range.endOffset;
  while (end > range.oldestOffset) {
    const start = Math.max(range.oldestOffset, end - options.pageLimit);
    for (const entry of await readBackwards(log, start, end, options)) {
      const snapshot = addEntry(collector, entry);
      if (snapshot) {
        yield snapshot;
      }
    }
    end = start;
  }
}

/**
 * Reads the entries from `start` up to but excluding `end`, latest first; empty
 * when they have expired.
 */
async function readBackwards(
  log: Log,
  start: number,
  end: number,
  options: ScanOptions,
): Promise<LogEntry[]> {
  const entries: LogEntry[] = [];
  try {
    for (let offset = start; offset < end;) {
      const page = await readPage(log, offset, end - offset, options);
      if (page.nextOffset <= offset) {
        break;
      }
      entries.push(...page.entries.filter(entry => entry.offset < end));
      offset = page.nextOffset;
    }
  } catch (error) {
    if (!isFailure(error, 'offset-expired')) {
      throw error;
    }
    return [];
  }
  return entries.reverse();
}

function readPage(
  log: Log,
  offset: number,
  limit: number,
  {readTimeout}: ScanOptions,
): Promise<LogPage> {
  return log.read(offset, {limit, wait: 0, timeout: readTimeout});
}

function addEntry(
  collector: ChunkCollector,
  entry: LogEntry,
): Snapshot | undefined {
  const isChunk =
    (entry.value as {type?: unknown} | null)?.type === 'snapshot-chunk';
  const parsed = isChunk ? recordSchema.safeParse(entry.value) : undefined;
  return parsed?.data?.type === 'snapshot-chunk'
    ? collector.add(parsed.data)
    : undefined;
}
