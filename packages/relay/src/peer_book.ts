/** The instances that the log names. */
import type {KeyedRecord} from '@galenavalve/workload';
import {type PeerEntry, decodePeer} from './peer_entry.js';

/** Instances by name, without this one. */
export class PeerBook {
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
  all(): PeerEntry[] {
    return [...this.entries.values()];
  }

  /** How many other instances have more processor, or as much and an earlier name. */
  get rank(): number {
    const {cores, instance} = this.self;
    return this.all().filter(
      other =>
        other.cores > cores ||
        (other.cores === cores && other.instance < instance),
    ).length;
  }
}
