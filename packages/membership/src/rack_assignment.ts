/** Shares the racks of a failure domain among its lease keepers. */
import {chooseByRendezvous} from '@galenavalve/shared';

/** The keeper of each rack. An instance that leaves moves only its own racks. */
export function assignRacks(
  racks: readonly string[],
  instances: readonly string[],
): Map<string, string> {
  const keepers = new Map<string, string>();
  for (const rack of racks) {
    const keeper = chooseByRendezvous(rack, instances);
    if (keeper !== undefined) {
      keepers.set(rack, keeper);
    }
  }
  return keepers;
}
