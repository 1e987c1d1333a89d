/** Which snapshots the log holds whole, as the fold has seen them. */
import type {SnapshotChunk} from '@galenavalve/model';

/** Snapshots that may be incomplete and are tracked at once. */
const MAX_PARTIAL = 8;

/** Most chunks of a snapshot. */
const MAX_CHUNKS = 10_000;

/** A snapshot whose chunks are all in the log. */
export interface RecordedSnapshot {
  snapshotId: string;
  nextOffset: number;
  /** Offset of its first chunk. */
  firstOffset: number;
  /** Log time of its completion, in milliseconds since the Unix epoch. */
  completedAt: number;
  /** Bytes of its sections in base64. */
  bytes: number;
  /** Number of its chunks. */
  chunks: number;
}

interface PartialSnapshot {
  snapshotId: string;
  firstOffset: number;
  missing: number[];
  bytes: number;
}

/** The tracker in a snapshot. */
export interface EncodedSnapshotTracker {
  latest?: RecordedSnapshot;
  partial: PartialSnapshot[];
}

/** Follows the chunks in log order. */
export class SnapshotTracker {
  private partial: PartialSnapshot[] = [];
  private current: RecordedSnapshot | undefined;

  /** The complete snapshot with the highest offset. */
  get latest(): RecordedSnapshot | undefined {
    return this.current;
  }

  /** Returns false when the chunk cannot be part of a snapshot. */
  observe(chunk: SnapshotChunk, offset: number, logTime: number): boolean {
    if (chunk.count > MAX_CHUNKS || chunk.index >= chunk.count) {
      return false;
    }
    const snapshot = this.find(chunk, offset);
    const position = snapshot.missing.indexOf(chunk.index);
    if (position < 0) {
      return true;
    }
    snapshot.missing.splice(position, 1);
    snapshot.bytes += chunk.data.length;
    if (snapshot.missing.length === 0) {
      this.complete(snapshot, chunk, logTime);
    }
    return true;
  }

  /** Everything, for a snapshot. */
  encode(): EncodedSnapshotTracker {
    return {latest: this.current, partial: this.partial};
  }

  /** Takes over the state of a snapshot. */
  restore({latest, partial}: EncodedSnapshotTracker): void {
    this.current = latest;
    this.partial = partial;
  }

  private find({snapshotId, count}: SnapshotChunk, offset: number) {
    const known = this.partial.find(item => item.snapshotId === snapshotId);
    if (known) {
      return known;
    }
    const missing = Array.from({length: count}, (_, i) => i);
    const created = {snapshotId, firstOffset: offset, missing, bytes: 0};
    this.partial = [...this.partial, created].slice(-MAX_PARTIAL);
    return created;
  }

  private complete(
    {snapshotId, firstOffset, bytes}: PartialSnapshot,
    {nextOffset, count}: SnapshotChunk,
    completedAt: number,
  ): void {
    this.partial = this.partial.filter(item => item.snapshotId !== snapshotId);
    if (nextOffset > (this.current?.nextOffset ?? -1)) {
      this.current = {
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
