/** Interface of peers as sources of a state, in addition to the log. */
import type {Snapshot} from './codec.js';

/** A peer that can send its state. Implementations stream the sections. */
export interface StateSource {
  /** Name of the source in log lines. */
  readonly name: string;

  /**
   * Fetches the next offset of the source's state. Throws a `Failure` when the
   * source cannot be reached.
   */
  fetchNextOffset(): Promise<number>;

  /** Fetches a snapshot of the source's state. Throws a `Failure` when that fails. */
  fetchSnapshot(): Promise<Snapshot>;
}
