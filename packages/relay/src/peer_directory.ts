/** The instances that the log names. */
import type {CandidateRank} from '@galenavalve/dispatch';
import type {KeyedRecord} from '@galenavalve/workload';
import {type PeerEntry, decodePeer} from './peer_entry.js';

/** An instance with less than this share of the strongest one's processor is weak. */
const WEAK_SHARE = 0.5;

/** Instances by name, without this one. */
export class PeerDirectory {
  private readonly entries = new Map<string, PeerEntry>();

  constructor(private readonly self: Omit<PeerEntry, 'writtenAt'>) {}

  /** Takes a record of the log; records of other kinds change nothing. */
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

  /** Every other instance. */
  listPeers(): PeerEntry[] {
    return [...this.entries.values()];
  }

  /** Ranked by processor, then by name. */
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
