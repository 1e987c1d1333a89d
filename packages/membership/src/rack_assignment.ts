/** Assigns the racks of a failure domain to the instances that renew their leases. */
import {chooseByRendezvous} from '@galenavalve/shared';

/**
 * Returns the instance that renews the leases of each rack, by rendezvous
 * hashing: when an instance leaves, only its own racks are reassigned.
 */
export function assignRacks(
  racks: readonly string[],
  instances: readonly string[],
): Map<string, string> {
  const assignments = new Map<string, string>();
  for (const rack of racks) {
    const instance = chooseByRendezvous(rack, instances);
    if (instance !== undefined) {
      assignments.set(rack, instance);
    }
  }
  return assignments;
}
