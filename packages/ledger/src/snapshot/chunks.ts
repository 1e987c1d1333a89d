/** Snapshot chunks: records of the log that each hold one section of a snapshot. */
import type {RecordBody, SnapshotChunk} from '@galenavalve/model';
import type {Snapshot} from './codec.js';

/** Creates the chunk records of a snapshot, without record headers. */
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

/** Assembles snapshots from chunks, which may arrive in any order and more than once. */
export class ChunkCollector {
  private readonly bySnapshot = new Map<string, Map<number, SnapshotChunk>>();

  /** Adds a chunk. Returns its snapshot when all chunks have been added. */
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
