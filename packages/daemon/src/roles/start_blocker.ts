/** Start blocker: the reason why no work may start now. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';

/** Returns the reason why no work may start on `targets` now: the state is not fresh, or the domain or a target is out of service. */
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
