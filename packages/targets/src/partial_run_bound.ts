/** How long a part of a gang can run; docs/design/targets.md has the argument. */
import type {Milliseconds} from '@galenavalve/shared';

/** The times that the bound depends on, in milliseconds. */
export interface LeaseTimings {
  leaseMs: Milliseconds;
  /** Time between two rounds of the keeper. */
  renewMs: Milliseconds;
  callTimeoutMs: Milliseconds;
}

/**
 * Longest time that some members of a gang run while another does not, with
 * every message lost, late or repeated and every process dead or paused.
 */
export function computeLongestPartialRunMs(times: LeaseTimings): Milliseconds {
  return times.leaseMs + times.renewMs + 2 * times.callTimeoutMs;
}
