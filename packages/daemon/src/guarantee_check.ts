/** Refuses configurations that promise more than their inventory holds. */
import type {Configuration} from '@galenavalve/model';
import {describeShortfall, findShortfall} from '@galenavalve/placement';
import {Failure} from '@galenavalve/shared';

/** The failure that names the first shortfall, or undefined. A pure function: the fold calls it. */
export function findGuaranteeFailure(
  configuration: Configuration,
): Failure | undefined {
  const first = findShortfall(configuration)[0];
  return (
    first &&
    new Failure('guarantee-shortfall', {shortfall: describeShortfall(first)})
  );
}
