/** The report that this instance sends to its peers, and its eligibility for roles. */
import type {InstanceReport} from '@galenavalve/membership';
import type {DaemonContext} from '../daemon_context.js';

/** Time beyond the freshness bound after which an instance that cannot read the log is no longer eligible for roles. */
const ELIGIBILITY_GRACE_MS = 1_000;

/** Age that is reported to peers when the state has never been proven to be current. */
const NEVER_FRESH_MS = 1e12;

/**
 * Returns whether this instance is eligible for roles: it is serving and has
 * recently read the log itself. Freshness that peers report does not count,
 * because a scheduler that cannot append cannot serve its failure domain.
 */
export function isEligible(context: DaemonContext): boolean {
  const readAt = context.follower.getFreshAt() ?? -Infinity;
  const {freshnessMs} = context.settings.timings;
  return (
    context.stage === 'serving' &&
    context.clock.now() - readAt <= freshnessMs + ELIGIBILITY_GRACE_MS
  );
}

/** Creates the current report. */
export function createInstanceReport(context: DaemonContext): InstanceReport {
  const {instance, domain} = context.settings;
  const now = context.clock.now();
  const ageMs = context.freshness.getAge(now);
  const term = context.scheduler.term;
  return {
    instance,
    domain,
    offset: context.state.nextOffset,
    freshnessAgeMs: Math.round(Math.min(ageMs, NEVER_FRESH_MS)),
    schedules: term && {domain, term},
    schedulerHeardAgeMs: computeSchedulerHeardAge(context, now),
    leaving: context.stage === 'stopping',
    ready: isEligible(context),
    holds: [],
  };
}

/** Returns the time since the domain's scheduler was heard directly, in milliseconds; undefined when it never was. */
function computeSchedulerHeardAge(
  context: DaemonContext,
  now: number,
): number | undefined {
  const holder = context.state.getSchedulerTerm(
    context.settings.domain,
  )?.instance;
  const status = context.mesh
    .listPeers()
    .find(peer => peer.address.instance === holder);
  const ageMs = status && now - status.lastHeardAt;
  return ageMs !== undefined && Number.isFinite(ageMs)
    ? Math.round(ageMs)
    : undefined;
}
