/** A target as the platform's registry lists it. */
import type {Demand} from '@galenavalve/workload';

/** One entry of the registry. */
export interface TargetInfo {
  id: string;
  /** Unix milliseconds of the life's start; 0 when the entry does not say. */
  born: number;
  address: string;
  pool: string;
  domain: string;
  rack: string;
  labels: string[];
  capacity: Demand;
  isDraining: boolean;
  /** While it drains: least time until it leaves, in milliseconds. */
  remainingMs?: number;
}

/** Identifies one life of a target. */
export function formatIncarnationKey(id: string, born: number): string {
  return `${id}@${born}`;
}
