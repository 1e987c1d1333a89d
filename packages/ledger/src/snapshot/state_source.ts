/** Where a state can be had from besides the log: from peers. */
import type {Snapshot} from './codec.js';

/** A peer that can hand over its state. Implementations stream the sections. */
export interface StateSource {
  /** Names the source in log lines. */
  readonly name: string;

  /** Offset up to which the source has folded. Throws a `Failure` when it cannot be asked. */
  fetchNextOffset(): Promise<number>;

  /** The whole state. Throws a `Failure` when it cannot be had. */
  fetchSnapshot(): Promise<Snapshot>;
}
