/**
 * Apportions the guarantees of workspaces over failure domains.
 *
 * Apportionment is a pure function of the configuration, so every domain knows
 * its share also while it is cut off from the others. Service states are
 * ignored: while a domain is out, its share cannot be satisfied, and does not
 * move to another domain.
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

/** Guarantees of each failure domain, by domain id. */
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

/** Apportions every guarantee over inventories that are already built. */
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
    const fixedDomain = capacities.find(({id}) => id === guarantee.domain);
    fixedDomain?.addGuarantee(workspace.id, guarantee.level, guarantee.count);
  }
  for (const level of LEVELS_LARGEST_FIRST) {
    for (const {workspace, guarantee} of listGuarantees(workspaces)) {
      if (guarantee.level === level && !guarantee.domain) {
        distributeGuarantee(capacities, workspace, guarantee);
      }
    }
  }
  return new Map(capacities.map(({id, guarantees}) => [id, guarantees]));
}

/** Capacity of one failure domain that no guarantee claims yet. */
class DomainCapacity {
  readonly guarantees: DomainGuarantee[] = [];
  /** Accelerators that no guarantee claims; negative when the domain is overcommitted. */
  private remaining = 0;
  /** Number of accelerators of the largest cell of each level, such as the largest rack. */
  private readonly cellSizes: Record<CellLevel, number>;
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
    this.cellSizes = {
      domain: this.remaining,
      rack,
      target,
      half,
      accelerator: 1,
    };
    this.isRestricted = [...inventory.targets.values()].some(
      ({spec}) => spec.permittedWorkspaces,
    );
  }

  /** Assigns cells to a workspace; does nothing if `count` is 0. */
  addGuarantee(workspace: string, level: CellLevel, count: number): void {
    if (count > 0) {
      this.guarantees.push({workspace, level, count});
      this.remaining -= count * this.cellSizes[level];
    }
  }

  /** Counts the cells of a level that can still be guaranteed to a workspace. */
  countAvailable(workspace: string, level: CellLevel): number {
    const size = this.cellSizes[level];
    if (size === 0) {
      return 0;
    }
    const remaining = this.isRestricted
      ? Math.min(this.remaining, this.countPermitted(workspace))
      : this.remaining;
    return Math.max(0, Math.floor(remaining / size));
  }

  /** Counts the accelerators of targets on which a workspace may run. */
  private countPermitted(workspace: string): number {
    let sum = 0;
    for (const target of this.inventory.targets.values()) {
      sum += target.permits(workspace) ? target.spec.accelerators : 0;
    }
    return sum;
  }
}

/**
 * Distributes a guarantee over the permitted domains in proportion to their
 * remaining capacity, by the largest remainder method. Ties go to the domain
 * with more available cells.
 */
function distributeGuarantee(
  capacities: readonly DomainCapacity[],
  workspace: Workspace,
  {level, count}: Guarantee,
): void {
  const permitted = capacities.filter(
    ({id}) => workspace.permittedDomains?.includes(id) !== false,
  );
  const shares = permitted.map(capacity => {
    const available = capacity.countAvailable(workspace.id, level);
    return {capacity, available, assigned: 0, exact: 0};
  });
  const total = shares.reduce((sum, {available}) => sum + available, 0);
  const satisfiable = Math.min(count, total);
  let rest = satisfiable;
  for (const share of shares) {
    share.exact = total === 0 ? 0 : (satisfiable * share.available) / total;
    share.assigned = Math.floor(share.exact);
    rest -= share.assigned;
  }
  const byRemainder = [...shares].sort(
    (a, b) =>
      b.exact - b.assigned - (a.exact - a.assigned) ||
      b.available - a.available,
  );
  for (const share of byRemainder) {
    if (rest > 0 && share.assigned < share.available) {
      share.assigned++;
      rest--;
    }
  }
  // Cells that fit in no domain are assigned to the first, which reports them
  // as a shortfall.
  if (shares[0]) {
    shares[0].assigned += count - satisfiable;
  }
  shares.forEach(({capacity, assigned}) =>
    capacity.addGuarantee(workspace.id, level, assigned),
  );
}

function listGuarantees(
  workspaces: readonly Workspace[],
): {workspace: Workspace; guarantee: Guarantee}[] {
  return workspaces.flatMap(workspace =>
    workspace.guarantees.map(guarantee => ({workspace, guarantee})),
  );
}
