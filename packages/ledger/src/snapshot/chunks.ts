/** Snapshots as records of the log, one section a record. */
import type {RecordBody, SnapshotChunk} from '@galenavalve/model';
import type {Snapshot} from './codec.js';

/** The records of a snapshot, without headers. */
export function createChunks(snapshot: Snapshot): RecordBody[] {
  const {snapshotId, nextOffset, hash, sections} = snapshot;
  return sections.map((data, index) => ({
    type: 'snapshot-chunk',
    snapshotId,
    nextOffset,
    index,
    count: sections.length,
    hash,
    data,
  }));
}

/** Puts chunks together that come in any order, and more than once. */
export class ChunkCollector {
  private readonly bySnapshot = new Map<string, Map<number, SnapshotChunk>>();

  /** Adds a chunk; returns its snapshot once all chunks are there. */
  add(chunk: SnapshotChunk): Snapshot | undefined {
    const {snapshotId} = chunk;
    const chunks = this.bySnapshot.get(snapshotId) ?? new Map();
    chunks.set(chunk.index, chunk);
    this.bySnapshot.set(snapshotId, chunks);
    if (chunks.size < chunk.count) {
      return undefined;
    }
    this.bySnapshot.delete(snapshotId);
    return joinChunks([...chunks.values()]);
  }
}

function joinChunks(chunks: SnapshotChunk[]): Snapshot {
  const ordered = chunks.sort((a, b) => a.index - b.index);
  const {snapshotId, nextOffset, hash} = ordered[0]!;
  const sections = ordered.map(chunk => chunk.data);
  return {snapshotId, nextOffset, hash, sections};
}
