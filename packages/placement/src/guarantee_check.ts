/** Refuses configurations that promise more than their inventory holds. */
import type {Configuration, Target, Workspace} from '@galenavalve/model';
import {Failure, hashValue} from '@galenavalve/shared';
import {describeShortfall, findShortfalls} from './shortfall.js';

/**
 * The failure that names the first shortfall, or undefined. A pure function:
 * the fold calls it. `previous` is the configuration in force, which has none;
 * when nothing that promises rest on has changed, the search is spared.
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

/** Tells whether anything changed that promises rest on. Service states do not count: a take-out must pass, and leaves promises short for a while. */
export function hasGuaranteeChange(
  next: Configuration,
  previous: Configuration,
): boolean {
  return (
    hasChange(next.domains, previous.domains, ({id}) => id) ||
    hasChange(next.targets, previous.targets, describeCapacity) ||
    hasChange(next.workspaces, previous.workspaces, describePromises)
  );
}

/** Compares what `describe` tells of the entities that are not the same objects. */
function hasChange<T>(
  next: ReadonlyMap<string, T>,
  previous: ReadonlyMap<string, T>,
  describe: (value: T) => unknown,
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
      hashValue(describe(before)) === hashValue(describe(value));
    if (!isSame) {
      return true;
    }
  }
  return false;
}

function describeCapacity(target: Target): unknown {
  return {...target, state: undefined, endpoint: undefined};
}

function describePromises({guarantees, permittedDomains}: Workspace): unknown {
  return {guarantees, permittedDomains};
}
