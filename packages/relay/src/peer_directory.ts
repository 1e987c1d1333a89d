/** Directory of the instances that have an entry in the log. */
import type {CandidateRank} from '@galenavalve/dispatch';
import type {KeyedRecord} from '@galenavalve/workload';
import {type PeerEntry, decodePeer} from './peer_entry.js';

/** An instance is weak if it has less than this share of the processor capacity of the strongest one. */
const WEAK_SHARE = 0.5;

/** Peers by instance name; this instance is not included. */
export class PeerDirectory {
  private readonly entries = new Map<string, PeerEntry>();

  constructor(private readonly self: Omit<PeerEntry, 'writtenAt'>) {}

  /** Applies a record of the log. Ignores other kinds of records, malformed ones and the entry of this instance. */
  apply(record: KeyedRecord): void {
    const decoded = decodePeer(record);
    if (!decoded || decoded.instance === this.self.instance) {
      return;
    }
    if (decoded.entry) {
      this.entries.set(decoded.instance, decoded.entry);
    } else {
      this.entries.delete(decoded.instance);
    }
  }

  /** Lists all peers. */
  listPeers(): PeerEntry[] {
    return [...this.entries.values()];
  }

  /** Rank of this instance among those that may claim leadership: ordered by processor capacity, with the name as a tie-break. */
  get candidateRank(): CandidateRank {
    const {cores, instance} = this.self;
    let rank = 0;
    let strongest = cores;
    for (const other of this.entries.values()) {
      const isTie = other.cores === cores && other.instance < instance;
      rank += other.cores > cores || isTie ? 1 : 0;
      strongest = Math.max(strongest, other.cores);
    }
    return {rank, isWeak: cores < strongest * WEAK_SHARE};
  }
}
