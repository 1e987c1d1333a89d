/** Says which promises an inventory cannot keep. */
import type {Configuration, GuaranteeView, Target} from '@galenavalve/model';
import {apportionOverInventories} from './apportionment.js';
import {planGuaranteedCells} from './cell_planner.js';
import {type Inventory, buildInventories} from './inventory.js';
import type {DomainGuarantee, Shortfall} from './domain_guarantee.js';

/** Whether a target counts as capacity. */
export type TargetPredicate = (target: Target) => boolean;

/**
 * The promises that cannot be kept with the targets that `isAvailable`. By
 * default all targets count, whatever their state: that is the check of a
 * configuration, which a take-out must pass.
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
  for (const [domain, promises] of apportionment) {
    const inventory = inventories.get(domain)!;
    const missing = findMissing(inventory, promises, isAvailable);
    shortfalls.push(...missing.map(shortfall => ({...shortfall, domain})));
  }
  return [...shortfalls, ...findUnknownDomains(configuration)];
}

/** Counts a target when neither it nor its domain is leaving or out. */
export function createInServiceFilter(
  configuration: Configuration,
): TargetPredicate {
  return target =>
    target.state === 'in-service' &&
    configuration.domains.get(target.domain)?.state === 'in-service';
}

/** Every guarantee of every workspace, as promised and as it can be met with available targets. */
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
  for (const [domain, promises] of apportionment) {
    const missing = findMissing(
      inventories.get(domain)!,
      promises,
      isAvailable,
    );
    for (const {workspace, level, count} of mergePromises(promises)) {
      const short = missing.find(
        other => other.workspace === workspace && other.level === level,
      );
      const satisfiable = short?.satisfiable ?? count;
      const own = views.get(workspace) ?? [];
      own.push({domain, level, promised: count, satisfiable});
      views.set(workspace, own);
    }
  }
  return views;
}

/** A shortfall in words, for errors and status. */
export function describeShortfall(shortfall: Shortfall): string {
  const {workspace, level, count, satisfiable, domain} = shortfall;
  return `${workspace} is promised ${count} cells of level ${level} in ${domain}, which can hold ${satisfiable}`;
}

function findMissing(
  inventory: Inventory,
  promises: readonly DomainGuarantee[],
  isAvailable: TargetPredicate,
): Omit<Shortfall, 'domain'>[] {
  const {unplaced: missing} = planGuaranteedCells({
    inventory,
    guarantees: promises,
    isAvailable: target => isAvailable(target.spec),
    guaranteedGangs: [],
  });
  return missing.map(({workspace, level, count, missing: short}) => ({
    workspace,
    level,
    count,
    satisfiable: count - short,
  }));
}

function mergePromises(
  promises: readonly DomainGuarantee[],
): DomainGuarantee[] {
  const merged = new Map<string, DomainGuarantee>();
  for (const promise of promises) {
    const key = `${promise.workspace} ${promise.level}`;
    const count = (merged.get(key)?.count ?? 0) + promise.count;
    merged.set(key, {...promise, count});
  }
  return [...merged.values()];
}

/** Guarantees in domains that do not exist. */
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
