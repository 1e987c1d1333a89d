/** Tracks in the fold which snapshots are complete in the log. */
import type {SnapshotChunk} from '@galenavalve/model';

/** Number of incomplete snapshots that are tracked; the oldest are dropped. */
const MAX_PARTIAL_SNAPSHOTS = 8;

/** Largest number of chunks of a snapshot; bounds the list of missing chunks. */
const MAX_CHUNKS_PER_SNAPSHOT = 10_000;

/** A complete snapshot: all of its chunks are in the log. */
export interface RecordedSnapshot {
  snapshotId: string;
  nextOffset: number;
  /** Offset of its first chunk. */
  firstOffset: number;
  /** Log time of its last chunk, in milliseconds since the Unix epoch. */
  completedAt: number;
  /** Total size of its sections in base64. */
  bytes: number;
  /** Number of its chunks. */
  chunks: number;
}

/** A snapshot of which chunks are missing. */
interface PartialSnapshot {
  snapshotId: string;
  firstOffset: number;
  /** Indexes of the missing chunks. */
  missing: number[];
  bytes: number;
}

/** Form of the tracker in a snapshot. */
export interface EncodedSnapshotTracker {
  latest?: RecordedSnapshot;
  partial: PartialSnapshot[];
}

/** Tracks snapshots from their chunks, in log order. */
export class SnapshotTracker {
  private partialSnapshots: PartialSnapshot[] = [];
  private latestSnapshot: RecordedSnapshot | undefined;

  /** The complete snapshot with the highest offset. */
  get latest(): RecordedSnapshot | undefined {
    return this.latestSnapshot;
  }

  /** Adds a chunk at `offset`. Returns false when it cannot be part of a snapshot. */
  observe(chunk: SnapshotChunk, offset: number, logTime: number): boolean {
    if (chunk.count > MAX_CHUNKS_PER_SNAPSHOT || chunk.index >= chunk.count) {
      return false;
    }
    const snapshot = this.findOrAddPartial(chunk, offset);
    const position = snapshot.missing.indexOf(chunk.index);
    if (position < 0) {
      return true;
    }
    snapshot.missing.splice(position, 1);
    snapshot.bytes += chunk.data.length;
    if (snapshot.missing.length === 0) {
      this.completeSnapshot(snapshot, chunk, logTime);
    }
    return true;
  }

  /** Returns the state of the tracker, for a snapshot. */
  encode(): EncodedSnapshotTracker {
    return {latest: this.latestSnapshot, partial: this.partialSnapshots};
  }

  /** Sets the state of the tracker from a snapshot. */
  restore({latest, partial}: EncodedSnapshotTracker): void {
    this.latestSnapshot = latest;
    this.partialSnapshots = partial;
  }

  private findOrAddPartial({snapshotId, count}: SnapshotChunk, offset: number) {
    const existing = this.partialSnapshots.find(
      item => item.snapshotId === snapshotId,
    );
    if (existing) {
      return existing;
    }
    const missing = Array.from({length: count}, (_, i) => i);
    const created = {snapshotId, firstOffset: offset, missing, bytes: 0};
    this.partialSnapshots = [...this.partialSnapshots, created].slice(
      -MAX_PARTIAL_SNAPSHOTS,
    );
    return created;
  }

  private completeSnapshot(
    {snapshotId, firstOffset, bytes}: PartialSnapshot,
    {nextOffset, count}: SnapshotChunk,
    completedAt: number,
  ): void {
    this.partialSnapshots = this.partialSnapshots.filter(
      item => item.snapshotId !== snapshotId,
    );
    if (nextOffset > (this.latestSnapshot?.nextOffset ?? -1)) {
      this.latestSnapshot = {
        snapshotId,
        nextOffset,
        firstOffset,
        completedAt,
        bytes,
        chunks: count,
      };
    }
  }
}
