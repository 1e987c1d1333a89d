/** Measures how the ledger's fold grows with the cluster: rate, memory, and size of a snapshot. */
import {
  type LogEntry,
  LedgerState,
  applyEntry,
  decodeState,
  encodeState,
} from '@galenavalve/ledger';
import {createRecords, type FoldSizes} from './fold_records.js';

/** Figures of one size. */
export interface FoldFigures extends FoldSizes {
  records: number;
  recordsPerSecond: number;
  /** Milliseconds of the slowest single record, such as a configuration of the whole inventory. */
  slowestRecordMs: number;
  /** Growth of the heap by the whole state, in bytes; 0 where the runtime cannot collect on request. */
  stateBytes: number;
  stateBytesPerJob: number;
  /** Bytes of the snapshot's records, compressed and in base64. */
  snapshotBytes: number;
  encodeMs: number;
  decodeMs: number;
}

/** Folds a log of the given sizes, and measures it. Run with `--expose-gc` for the memory. */
export function measureFold(sizes: FoldSizes): FoldFigures {
  const before = usedHeap();
  const state = new LedgerState();
  let records = 0;
  let busyMs = 0;
  let slowestRecordMs = 0;
  for (const value of createRecords(sizes)) {
    const entry = parseEntry(records, value);
    const took = timeOf(() => applyEntry(state, entry));
    busyMs += took;
    slowestRecordMs = Math.max(slowestRecordMs, took);
    records += 1;
  }
  const stateBytes = usedHeap() - before;
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
  const encodeMs = timeOf(() => {
    snapshot = encodeState(state, 'measured');
  });
  const decodeMs = timeOf(() => decodeState(snapshot));
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

/** An entry as a reader gets it: parsed from text, so that nothing is shared with the writer. */
function parseEntry(offset: number, value: unknown): LogEntry {
  return {offset, value: JSON.parse(JSON.stringify(value)) as unknown};
}

function timeOf(action: () => unknown): number {
  const start = performance.now();
  action();
  return performance.now() - start;
}

function usedHeap(): number {
  if (!global.gc) {
    return 0;
  }
  global.gc();
  return process.memoryUsage().heapUsed;
}

function roundMs(value: number): number {
  return Math.round(value * 100) / 100;
}
