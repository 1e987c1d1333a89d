/** What this instance tells its peers in a heartbeat. */
import type {SelfReport} from '@galenavalve/membership';
import type {Node} from '../node.js';

/** Time beyond the freshness bound after which an instance without the log gives up its roles, in milliseconds. */
const UNFIT_AFTER_MS = 1_000;

/** Stands for "never known to be current" on the wire, in milliseconds. */
const NEVER_FRESH_MS = 1e12;

/**
 * Tells whether this instance may hold roles: it serves, and reaches the log
 * itself. Freshness that peers relay does not count here, since a scheduler
 * that cannot append is of no use to its failure domain.
 */
export function isFit(node: Node): boolean {
  const readAt = node.follower.getFreshAt() ?? -Infinity;
  const {freshnessMs} = node.settings.timings;
  return (
    node.stage === 'serving' &&
    node.clock.now() - readAt <= freshnessMs + UNFIT_AFTER_MS
  );
}

/** The present report. */
export function createSelfReport(node: Node): SelfReport {
  const {instance, domain} = node.settings;
  const now = node.clock.now();
  const age = node.freshness.ageAt(now);
  const term = node.scheduler.term;
  return {
    instance,
    domain,
    offset: node.state.nextOffset,
    freshnessAgeMs: Math.round(Math.min(age, NEVER_FRESH_MS)),
    schedules: term && {domain, term},
    schedulerHeardAgeMs: findSchedulerAge(node, now),
    leaving: node.stage === 'stopping',
    ready: isFit(node),
    holds: [],
  };
}

/** Time since the domain's scheduler was heard directly, in milliseconds. */
function findSchedulerAge(node: Node, now: number): number | undefined {
  const holder = node.state.getSchedulerTerm(node.settings.domain)?.instance;
  const status = node.mesh
    .peers()
    .find(peer => peer.address.instance === holder);
  const age = status && now - status.lastHeardAt;
  return age !== undefined && Number.isFinite(age)
    ? Math.round(age)
    : undefined;
}
