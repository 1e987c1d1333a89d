/** Measures the size and the time of a state snapshot by shares of the two-year size, the cluster size that users expect in two years. */
import {
  LedgerState,
  type Snapshot,
  createChunks,
  decodeState,
  encodeState,
} from '@galenavalve/ledger';
import {countRecordBytes, foldAll} from './fixtures.js';
import {measureTimeMs} from './measurement.js';
import {type Slope, measureSlopes} from './slope.js';
import {createClusterRecords} from './two_year_size.js';

const SIZE_SHARES = [0.1, 0.25, 0.5, 1];

const TITLES = {
  bytes: {
    id: 'snapshot-bytes',
    over: 'share of the two-year size',
    measured: 'bytes of the records of a snapshot',
  },
  encodeMs: {
    id: 'snapshot-encode',
    over: 'share of the two-year size',
    measured: 'ms to encode a snapshot',
  },
  decodeMs: {
    id: 'snapshot-decode',
    over: 'share of the two-year size',
    measured: 'ms to restore a state from a snapshot',
  },
};

/** Measures all slopes of snapshots. */
export async function measureSnapshots(): Promise<Slope[]> {
  return measureSlopes(TITLES, SIZE_SHARES, measureSnapshot);
}

async function measureSnapshot(
  share: number,
): Promise<Record<keyof typeof TITLES, number>> {
  const state = new LedgerState();
  foldAll(state, createClusterRecords(share));
  const snapshot = encodeState(state, 'snapshot-1');
  return {
    bytes: countSnapshotBytes(snapshot),
    encodeMs: measureTimeMs(
      () => state,
      input => void encodeState(input, 'snapshot-2'),
    ),
    decodeMs: measureTimeMs(
      () => snapshot,
      input => void decodeState(input),
    ),
  };
}

function countSnapshotBytes(snapshot: Snapshot): number {
  return createChunks(snapshot).reduce(
    (total, chunk) => total + countRecordBytes(chunk),
    0,
  );
}
