/** Entry of a target in the platform's registry. */
import type {Demand} from '@galenavalve/workload';

/** A target as the registry lists it. */
export interface TargetInfo {
  id: string;
  /**
   * Start time of the incarnation in Unix milliseconds; 0 if the entry has
   * none.
   */
  born: number;
  address: string;
  pool: string;
  domain: string;
  rack: string;
  labels: string[];
  capacity: Demand;
  /** Whether the target takes no new work and is leaving. */
  isDraining: boolean;
  /** Minimum time until a draining target leaves, in milliseconds. */
  remainingMs?: number;
}

/** Returns the key of one incarnation of a target: its id and start time. */
export function formatIncarnationKey(id: string, born: number): string {
  return `${id}@${born}`;
}
