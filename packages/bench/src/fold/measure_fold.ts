/** Measures the fold of the ledger by cluster size: rate, memory, and size of a snapshot. */
import {
  type LogEntry,
  LedgerState,
  applyEntry,
  decodeState,
  encodeState,
} from '@galenavalve/ledger';
import {createRecords, type FoldSizes} from './fold_records.js';

/** Figures of one cluster size. */
export interface FoldFigures extends FoldSizes {
  records: number;
  recordsPerSecond: number;
  /** Time of the slowest single record, such as a configuration of all targets. */
  slowestRecordMs: number;
  /** Heap growth by the whole state, in bytes; 0 when the runtime does not expose the garbage collector. */
  stateBytes: number;
  stateBytesPerJob: number;
  /** Size of the snapshot's records, compressed and base64-encoded, in bytes. */
  snapshotBytes: number;
  encodeMs: number;
  decodeMs: number;
}

/** Folds a log of the given sizes and measures it. Memory figures need the Node flag `--expose-gc`. */
export function measureFold(sizes: FoldSizes): FoldFigures {
  const heapBeforeBytes = measureUsedHeapBytes();
  const state = new LedgerState();
  let records = 0;
  let busyMs = 0;
  let slowestRecordMs = 0;
  for (const value of createRecords(sizes)) {
    const entry = parseEntry(records, value);
    const durationMs = measureTimeMs(() => applyEntry(state, entry));
    busyMs += durationMs;
    slowestRecordMs = Math.max(slowestRecordMs, durationMs);
    records += 1;
  }
  const stateBytes = measureUsedHeapBytes() - heapBeforeBytes;
  const jobs = sizes.runningJobs + sizes.queuedJobs + sizes.finishedJobs;
  return {
    ...sizes,
    records,
    recordsPerSecond: Math.round((records * 1000) / busyMs),
    slowestRecordMs: roundMs(slowestRecordMs),
    stateBytes,
    stateBytesPerJob: Math.round(stateBytes / Math.max(1, jobs)),
    ...measureSnapshot(state),
  };
}

function measureSnapshot(
  state: LedgerState,
): Pick<FoldFigures, 'snapshotBytes' | 'encodeMs' | 'decodeMs'> {
  let snapshot = encodeState(new LedgerState(), 'empty');
  const encodeMs = measureTimeMs(() => {
    snapshot = encodeState(state, 'measured');
  });
  const decodeMs = measureTimeMs(() => decodeState(snapshot));
  const snapshotBytes = snapshot.sections.reduce(
    (sum, section) => sum + section.length,
    0,
  );
  return {
    snapshotBytes,
    encodeMs: roundMs(encodeMs),
    decodeMs: roundMs(decodeMs),
  };
}

/** Creates an entry as a reader receives it: parsed from text, so that it shares no objects with the writer. */
function parseEntry(offset: number, value: unknown): LogEntry {
  return {offset, value: JSON.parse(JSON.stringify(value)) as unknown};
}

function measureTimeMs(action: () => unknown): number {
  const startedAt = performance.now();
  action();
  return performance.now() - startedAt;
}

function measureUsedHeapBytes(): number {
  if (!global.gc) {
    return 0;
  }
  global.gc();
  return process.memoryUsage().heapUsed;
}

function roundMs(value: number): number {
  return Math.round(value * 100) / 100;
}
