/** Builds the racks and targets of failure domains as cells. */
import type {Configuration, Target} from '@galenavalve/model';
import {RackCell} from './rack_cell.js';
import {TargetCell} from './target_cell.js';

/** Racks and targets of one failure domain, each ordered by rack and id. */
export interface Inventory {
  readonly racks: Map<string, RackCell>;
  readonly targets: Map<string, TargetCell>;
}

/** Builds the cells of one failure domain. */
export function buildInventory(
  configuration: Configuration,
  domain: string,
): Inventory {
  return buildInventories(configuration, [domain]).get(domain)!;
}

/** Builds the cells of several failure domains. */
export function buildInventories(
  configuration: Configuration,
  domains: Iterable<string>,
): Map<string, Inventory> {
  const inventories = new Map<string, Inventory>();
  for (const domain of domains) {
    inventories.set(domain, {racks: new Map(), targets: new Map()});
  }
  const specs = [...configuration.targets.values()]
    .filter(spec => inventories.has(spec.domain))
    .sort((a, b) => compareNames(a.rack, b.rack) || compareNames(a.id, b.id));
  for (const spec of specs) {
    addTarget(inventories.get(spec.domain)!, spec);
  }
  return inventories;
}

/** Compares names by UTF-16 code units, so that the order does not depend on the locale. */
export function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

function addTarget(inventory: Inventory, spec: Target): void {
  let rack = inventory.racks.get(spec.rack);
  if (!rack) {
    rack = new RackCell(spec.rack);
    inventory.racks.set(spec.rack, rack);
  }
  const target = new TargetCell(spec, rack, inventory.targets.size);
  rack.targets.push(target);
  inventory.targets.set(spec.id, target);
}
