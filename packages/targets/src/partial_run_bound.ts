/** Bound on the time for which a gang runs partially; docs/design/targets.md derives it. */
import type {Milliseconds} from '@galenavalve/shared';

/** The timings that determine the bound, in milliseconds. */
export interface LeaseTimings {
  leaseMs: Milliseconds;
  /** Time between two rounds of the lease renewer. */
  renewMs: Milliseconds;
  callTimeoutMs: Milliseconds;
}

/**
 * Computes the longest time for which some members of a gang run while another
 * does not. Holds when any message is lost, delayed or repeated, and when any
 * process is killed or paused.
 */
export function computeLongestPartialRunMs(
  timings: LeaseTimings,
): Milliseconds {
  return timings.leaseMs + timings.renewMs + 2 * timings.callTimeoutMs;
}
