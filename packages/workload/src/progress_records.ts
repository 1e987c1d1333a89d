/**
 * Encodes the progress of a job as records that the platform accepts. Progress
 * that does not fit into one record is split: the job's record then holds the
 * summary and the number of parts, and each part is a record of its own. The
 * records of one state are appended together, so the newest parts belong to the
 * newest summary.
 */
import {
  type KeyedRecord,
  encodeProgress,
  encodeProgressPart,
} from './keyed_record.js';
import type {Progress, UnitProgress} from './progress.js';
import {formatSplitSummary} from './stored_progress.js';

/** Maximum size of a value in bytes; a quarter of what the platform accepts. */
const MAX_VALUE_BYTES = 65_536;

/**
 * Size in bytes beyond which only what a later leader cannot do without is
 * written; the platform limits a call to 2 MiB.
 */
const MAX_PROGRESS_BYTES = 900_000;

/** Records of a job's progress. */
export interface ProgressRecords {
  records: KeyedRecord[];
  /** Number of parts that the log has once the records are written. */
  partCount: number;
  /** Size of the values in bytes. */
  size: number;
}

/**
 * Encodes the progress of a job. Of the `recordedParts` that the log has, those
 * that are no longer needed are deleted.
 */
export function encodeProgressRecords(
  id: string,
  progress: Progress,
  recordedParts = 0,
): ProgressRecords {
  const whole = encodeProgress(id, progress);
  const record = reduceToLimit(id, progress, whole);
  const size = record.value.length;
  const parts = size > MAX_VALUE_BYTES ? splitDetails(record.value) : [];
  const partCount = parts.length;
  const records = parts.map((part, index) =>
    encodeProgressPart(id, index, part),
  );
  for (let index = partCount; index < recordedParts; index++) {
    records.push(encodeProgressPart(id, index, ''));
  }
  records.push(
    partCount > 0
      ? {...record, value: formatSplitSummary(progress, partCount)}
      : record,
  );
  return {records, partCount, size};
}

/** Leaves out what makes a record too large; nobody reads the units of a job that has ended. */
function reduceToLimit(
  id: string,
  progress: Progress,
  whole: KeyedRecord,
): KeyedRecord {
  const size = whole.value.length;
  if (size > MAX_VALUE_BYTES && progress.outcome !== 'active') {
    return encodeProgress(id, {...progress, occurrences: []});
  }
  return size > MAX_PROGRESS_BYTES
    ? encodeProgress(id, omitDispensable(progress))
    : whole;
}

/** Returns the line with the units in pieces of the maximum size. */
function splitDetails(value: string): string[] {
  const parts: string[] = [];
  let start = value.indexOf('\n') + 1;
  for (; start < value.length; start += MAX_VALUE_BYTES) {
    parts.push(value.slice(start, start + MAX_VALUE_BYTES));
  }
  return parts;
}

/** Returns progress without checkpoints and evidence of crashes: later leaders repeat work, but nothing that is done. */
function omitDispensable(progress: Progress): Progress {
  const omit = (unit: UnitProgress): UnitProgress => ({
    ...unit,
    checkpoint: '',
    crashes: undefined,
  });
  const occurrences = progress.occurrences.map(({index, steps}) => ({
    index,
    steps: steps.map(units => units.map(omit)),
  }));
  return {...progress, occurrences};
}
