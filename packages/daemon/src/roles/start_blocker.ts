/** Why nothing may start in this failure domain at the moment. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';

/** The reason that bars a start on `targets`, or undefined. */
export function findStartBlocker(
  context: DaemonContext,
  now: Instant,
  targets: readonly string[],
): Reason | undefined {
  const {domain, timings} = context.settings;
  const {configuration} = context.state;
  if (!context.freshness.isFresh(now, timings.freshnessMs)) {
    return createReason('waiting-stale');
  }
  const state = configuration.domains.get(domain)?.state;
  if (state !== 'in-service' || context.mesh.isHeld(`domain/${domain}`)) {
    return createReason('waiting-domain', {domain});
  }
  for (const target of targets) {
    const isInService =
      configuration.targets.get(target)?.state === 'in-service';
    if (!isInService || context.mesh.isHeld(`target/${target}`)) {
      return createReason('waiting-targets', {
        target,
        problem: 'it is out of service',
      });
    }
  }
  return undefined;
}
