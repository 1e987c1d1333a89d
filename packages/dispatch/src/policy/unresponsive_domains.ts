/**
 * Detects failure domains that appear to be cut off. They receive no new work
 * until one of their targets responds.
 */
import type {Instant} from '@galenavalve/shared';
import type {TargetState} from '../target_state.js';

/**
 * Number of targets with a late response from which on their domain counts as
 * suspect; a single late target is assumed to have a fault of its own.
 */
const MIN_LATE_TARGETS = 2;

/**
 * Returns the domains in which at least `MIN_LATE_TARGETS` targets are late with a
 * response and no target has responded since the first of these was due.
 */
export function findUnresponsiveDomains(
  targets: Iterable<TargetState>,
  now: Instant,
): ReadonlySet<string> {
  const domains = new Map<
    string,
    {late: number; firstDueAt: Instant; lastResponseAt: Instant}
  >();
  for (const target of targets) {
    const {domain} = target.info;
    const entry = domains.get(domain) ?? {
      late: 0,
      firstDueAt: Infinity,
      lastResponseAt: -Infinity,
    };
    domains.set(domain, entry);
    entry.lastResponseAt = Math.max(
      entry.lastResponseAt,
      target.lastResponseAt,
    );
    if (target.isRegistered && target.isResponseLate(now)) {
      entry.late++;
      entry.firstDueAt = Math.min(entry.firstDueAt, target.responseDueAt);
    }
  }
  const unresponsiveDomains = new Set<string>();
  for (const [domain, {late, firstDueAt, lastResponseAt}] of domains) {
    if (late >= MIN_LATE_TARGETS && lastResponseAt < firstDueAt) {
      unresponsiveDomains.add(domain);
    }
  }
  return unresponsiveDomains;
}
