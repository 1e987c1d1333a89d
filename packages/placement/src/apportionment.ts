/**
 * Apportions guarantees over failure domains: a pure function of the
 * configuration, so that every domain keeps its part while it is cut off.
 * Service states do not matter here; a domain that is out is short of its
 * part, and its part does not move.
 */
import type {
  CellLevel,
  Configuration,
  Guarantee,
  Workspace,
} from '@galenavalve/model';
import {type Inventory, buildInventories, compareNames} from './inventory.js';
import {
  type DomainGuarantee,
  LEVELS_LARGEST_FIRST,
} from './domain_guarantee.js';

/** The promises of each failure domain, by its id. */
export type Apportionment = ReadonlyMap<string, readonly DomainGuarantee[]>;

/** Apportions every guarantee of a configuration. */
export function apportionGuarantees(
  configuration: Configuration,
): Apportionment {
  return apportionOverInventories(
    configuration,
    buildInventories(configuration, configuration.domains.keys()),
  );
}

/** Apportions over inventories that were built already. */
export function apportionOverInventories(
  configuration: Configuration,
  inventories: ReadonlyMap<string, Inventory>,
): Apportionment {
  const capacities = [...inventories]
    .sort(([a], [b]) => compareNames(a, b))
    .map(([id, inventory]) => new DomainCapacity(id, inventory));
  const workspaces = [...configuration.workspaces.values()].sort((a, b) =>
    compareNames(a.id, b.id),
  );
  for (const {workspace, guarantee} of listGuarantees(workspaces)) {
    const pinned = capacities.find(({id}) => id === guarantee.domain);
    pinned?.promise(workspace.id, guarantee.level, guarantee.count);
  }
  for (const level of LEVELS_LARGEST_FIRST) {
    for (const {workspace, guarantee} of listGuarantees(workspaces)) {
      if (guarantee.level === level && !guarantee.domain) {
        distribute(capacities, workspace, guarantee);
      }
    }
  }
  return new Map(capacities.map(({id, promises}) => [id, promises]));
}

/** What one failure domain has left to promise. */
class DomainCapacity {
  readonly promises: DomainGuarantee[] = [];
  private remaining = 0;
  private readonly sizes: Record<CellLevel, number>;
  private readonly isRestricted: boolean;

  constructor(
    readonly id: string,
    private readonly inventory: Inventory,
  ) {
    let target = 0;
    let rack = 0;
    for (const {targets} of inventory.racks.values()) {
      const sizes = targets.map(({spec}) => spec.accelerators);
      const sum = sizes.reduce((total, size) => total + size, 0);
      target = Math.max(target, ...sizes);
      rack = Math.max(rack, sum);
      this.remaining += sum;
    }
    const half = Math.floor(target / 2);
    this.sizes = {domain: this.remaining, rack, target, half, accelerator: 1};
    this.isRestricted = [...inventory.targets.values()].some(
      ({spec}) => spec.permittedWorkspaces,
    );
  }

  promise(workspace: string, level: CellLevel, count: number): void {
    if (count > 0) {
      this.promises.push({workspace, level, count});
      this.remaining -= count * this.sizes[level];
    }
  }

  /** Cells of a level that can still be promised to a workspace. */
  available(workspace: string, level: CellLevel): number {
    const size = this.sizes[level];
    if (size === 0) {
      return 0;
    }
    const remaining = this.isRestricted
      ? Math.min(this.remaining, this.permitted(workspace))
      : this.remaining;
    return Math.max(0, Math.floor(remaining / size));
  }

  private permitted(workspace: string): number {
    let sum = 0;
    for (const target of this.inventory.targets.values()) {
      sum += target.permits(workspace) ? target.spec.accelerators : 0;
    }
    return sum;
  }
}

/** Distributes a guarantee in proportion to what domains have left, by the largest remainder. */
function distribute(
  capacities: readonly DomainCapacity[],
  workspace: Workspace,
  {level, count}: Guarantee,
): void {
  const permitted = capacities.filter(
    ({id}) => workspace.permittedDomains?.includes(id) !== false,
  );
  const shares = permitted.map(capacity => {
    const available = capacity.available(workspace.id, level);
    return {capacity, available, given: 0, exact: 0};
  });
  const total = shares.reduce((sum, {available}) => sum + available, 0);
  const satisfiable = Math.min(count, total);
  let rest = satisfiable;
  for (const share of shares) {
    share.exact = total === 0 ? 0 : (satisfiable * share.available) / total;
    share.given = Math.floor(share.exact);
    rest -= share.given;
  }
  const byRemainder = [...shares].sort(
    (a, b) =>
      b.exact - b.given - (a.exact - a.given) || b.available - a.available,
  );
  for (const share of byRemainder) {
    if (rest > 0 && share.given < share.available) {
      share.given++;
      rest--;
    }
  }
  // What no domain can hold is promised by the first, and reported as short there.
  if (shares[0]) {
    shares[0].given += count - satisfiable;
  }
  shares.forEach(({capacity, given}) =>
    capacity.promise(workspace.id, level, given),
  );
}

function listGuarantees(
  workspaces: readonly Workspace[],
): {workspace: Workspace; guarantee: Guarantee}[] {
  return workspaces.flatMap(workspace =>
    workspace.guarantees.map(guarantee => ({workspace, guarantee})),
  );
}
