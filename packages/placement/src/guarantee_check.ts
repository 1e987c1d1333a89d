/** Rejects configurations that guarantee more than their inventory holds. */
import type {Configuration, Target, Workspace} from '@galenavalve/model';
import {Failure, hashValue} from '@galenavalve/shared';
import {describeShortfall, findShortfalls} from './shortfall.js';

/**
 * Returns a failure that names the first shortfall, or undefined if there is
 * none. A pure function, since the fold of the ledger calls it. `previous` is
 * the current configuration, which has no shortfall; the search is skipped if
 * nothing that guarantees depend on has changed since.
 */
export function findGuaranteeFailure(
  configuration: Configuration,
  previous?: Configuration,
): Failure | undefined {
  if (previous && !hasGuaranteeChange(configuration, previous)) {
    return undefined;
  }
  const first = findShortfalls(configuration)[0];
  return (
    first &&
    new Failure('guarantee-shortfall', {shortfall: describeShortfall(first)})
  );
}

/**
 * Returns whether anything changed that guarantees depend on. Service states do
 * not count: taking a domain or target out of service must be accepted, although
 * guarantees are short in the meantime.
 */
export function hasGuaranteeChange(
  next: Configuration,
  previous: Configuration,
): boolean {
  return (
    hasChange(next.domains, previous.domains, ({id}) => id) ||
    hasChange(next.targets, previous.targets, selectCapacityFields) ||
    hasChange(next.workspaces, previous.workspaces, selectGuaranteeFields)
  );
}

/** Returns whether entities were added, removed or changed, by the fields that `select` returns. */
function hasChange<T>(
  next: ReadonlyMap<string, T>,
  previous: ReadonlyMap<string, T>,
  select: (value: T) => unknown,
): boolean {
  if (next === previous) {
    return false;
  }
  if (next.size !== previous.size) {
    return true;
  }
  for (const [id, value] of next) {
    const before = previous.get(id);
    if (before === undefined) {
      return true;
    }
    const isSame =
      before === value ||
      hashValue(select(before)) === hashValue(select(value));
    if (!isSame) {
      return true;
    }
  }
  return false;
}

function selectCapacityFields(target: Target): unknown {
  return {...target, state: undefined, endpoint: undefined};
}

function selectGuaranteeFields({
  guarantees,
  permittedDomains,
}: Workspace): unknown {
  return {guarantees, permittedDomains};
}
