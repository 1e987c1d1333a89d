/** Finds the guarantees that an inventory cannot satisfy. */
import type {Configuration, GuaranteeView, Target} from '@galenavalve/model';
import {apportionOverInventories} from './apportionment.js';
import {planGuaranteedCells} from './cell_planner.js';
import {type Inventory, buildInventories} from './inventory.js';
import type {DomainGuarantee, Shortfall} from './domain_guarantee.js';

/** Returns whether a target counts as capacity. */
export type TargetPredicate = (target: Target) => boolean;

/**
 * Finds the guarantees that cannot be satisfied with the targets that
 * `isAvailable` accepts. By default all targets count, whatever their state: this
 * is the check of a configuration, and taking a domain or target out of service
 * must pass it.
 */
export function findShortfalls(
  configuration: Configuration,
  isAvailable: TargetPredicate = () => true,
): Shortfall[] {
  const shortfalls: Shortfall[] = [];
  const inventories = buildInventories(
    configuration,
    configuration.domains.keys(),
  );
  const apportionment = apportionOverInventories(configuration, inventories);
  for (const [domain, guarantees] of apportionment) {
    const inventory = inventories.get(domain)!;
    const unplaced = findUnplacedCells(inventory, guarantees, isAvailable);
    shortfalls.push(...unplaced.map(shortfall => ({...shortfall, domain})));
  }
  return [...shortfalls, ...findUnknownDomains(configuration)];
}

/** Creates a predicate that accepts targets if neither they nor their domain are leaving or out. */
export function createInServiceFilter(
  configuration: Configuration,
): TargetPredicate {
  return target =>
    target.state === 'in-service' &&
    configuration.domains.get(target.domain)?.state === 'in-service';
}

/**
 * Lists the guarantees of every workspace, with the number of cells in each
 * domain and the number that available targets can satisfy.
 */
export function listGuaranteeViews(
  configuration: Configuration,
  isAvailable: TargetPredicate = createInServiceFilter(configuration),
): Map<string, GuaranteeView[]> {
  const views = new Map<string, GuaranteeView[]>();
  const inventories = buildInventories(
    configuration,
    configuration.domains.keys(),
  );
  const apportionment = apportionOverInventories(configuration, inventories);
  for (const [domain, guarantees] of apportionment) {
    const unplaced = findUnplacedCells(
      inventories.get(domain)!,
      guarantees,
      isAvailable,
    );
    for (const {workspace, level, count} of mergeGuarantees(guarantees)) {
      const shortfall = unplaced.find(
        other => other.workspace === workspace && other.level === level,
      );
      const satisfiable = shortfall?.satisfiable ?? count;
      const workspaceViews = views.get(workspace) ?? [];
      workspaceViews.push({domain, level, promised: count, satisfiable});
      views.set(workspace, workspaceViews);
    }
  }
  return views;
}

/** Formats a shortfall for errors and status. */
export function describeShortfall(shortfall: Shortfall): string {
  const {workspace, level, count, satisfiable, domain} = shortfall;
  return `${workspace} is guaranteed ${count} cells of level ${level} in ${domain}, which can hold ${satisfiable}`;
}

function findUnplacedCells(
  inventory: Inventory,
  guarantees: readonly DomainGuarantee[],
  isAvailable: TargetPredicate,
): Omit<Shortfall, 'domain'>[] {
  const {unplaced} = planGuaranteedCells({
    inventory,
    guarantees,
    isAvailable: target => isAvailable(target.spec),
    guaranteedGangs: [],
  });
  return unplaced.map(({workspace, level, count, missing}) => ({
    workspace,
    level,
    count,
    satisfiable: count - missing,
  }));
}

function mergeGuarantees(
  guarantees: readonly DomainGuarantee[],
): DomainGuarantee[] {
  const merged = new Map<string, DomainGuarantee>();
  for (const guarantee of guarantees) {
    const key = `${guarantee.workspace} ${guarantee.level}`;
    const count = (merged.get(key)?.count ?? 0) + guarantee.count;
    merged.set(key, {...guarantee, count});
  }
  return [...merged.values()];
}

/** Finds guarantees in domains that do not exist. */
function findUnknownDomains(configuration: Configuration): Shortfall[] {
  return [...configuration.workspaces.values()].flatMap(workspace =>
    workspace.guarantees
      .filter(({domain}) => domain && !configuration.domains.has(domain))
      .map(({level, count, domain}) => ({
        workspace: workspace.id,
        level,
        count,
        domain: domain!,
        satisfiable: 0,
      })),
  );
}
