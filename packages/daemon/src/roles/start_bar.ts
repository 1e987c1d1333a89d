/** Why nothing may start in this failure domain at the moment. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {Node} from '../node.js';

/** The reason that bars a start on `targets`, or undefined. */
export function findStartBar(
  node: Node,
  now: Instant,
  targets: readonly string[],
): Reason | undefined {
  const {domain, timings} = node.settings;
  const {configuration} = node.state;
  if (!node.freshness.isFresh(now, timings.freshnessMs)) {
    return createReason('waiting-stale');
  }
  const state = configuration.domains.get(domain)?.state;
  if (state !== 'in-service' || node.mesh.isHeld(`domain/${domain}`)) {
    return createReason('waiting-domain', {domain});
  }
  for (const target of targets) {
    const isInService =
      configuration.targets.get(target)?.state === 'in-service';
    if (!isInService || node.mesh.isHeld(`target/${target}`)) {
      return createReason('waiting-targets', {
        target,
        problem: 'it is out of service',
      });
    }
  }
  return undefined;
}
