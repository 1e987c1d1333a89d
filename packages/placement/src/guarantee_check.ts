/** Refuses configurations that promise more than their inventory holds. */
import type {Configuration} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';
import {describeShortfall, findShortfall} from './shortfall.js';

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
