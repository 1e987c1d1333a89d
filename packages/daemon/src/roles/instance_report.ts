/** What this instance tells its peers in a heartbeat. */
import type {InstanceReport} from '@galenavalve/membership';
import type {DaemonContext} from '../daemon_context.js';

/** Time beyond the freshness bound after which an instance without the log gives up its roles, in milliseconds. */
const UNFIT_AFTER_MS = 1_000;

/** Stands for "never known to be current" on the wire, in milliseconds. */
const NEVER_FRESH_MS = 1e12;

/**
 * Tells whether this instance may hold roles: it serves, and reaches the log
 * itself. Freshness that peers relay does not count here, since a scheduler
 * that cannot append is of no use to its failure domain.
 */
export function isEligible(context: DaemonContext): boolean {
  const readAt = context.follower.getFreshAt() ?? -Infinity;
  const {freshnessMs} = context.settings.timings;
  return (
    context.stage === 'serving' &&
    context.clock.now() - readAt <= freshnessMs + UNFIT_AFTER_MS
  );
}

/** The present report. */
export function createInstanceReport(context: DaemonContext): InstanceReport {
  const {instance, domain} = context.settings;
  const now = context.clock.now();
  const age = context.freshness.getAge(now);
  const term = context.scheduler.term;
  return {
    instance,
    domain,
    offset: context.state.nextOffset,
    freshnessAgeMs: Math.round(Math.min(age, NEVER_FRESH_MS)),
    schedules: term && {domain, term},
    schedulerHeardAgeMs: findSchedulerAge(context, now),
    leaving: context.stage === 'stopping',
    ready: isEligible(context),
    holds: [],
  };
}

/** Time since the domain's scheduler was heard directly, in milliseconds. */
function findSchedulerAge(
  context: DaemonContext,
  now: number,
): number | undefined {
  const holder = context.state.getSchedulerTerm(
    context.settings.domain,
  )?.instance;
  const status = context.mesh
    .listPeers()
    .find(peer => peer.address.instance === holder);
  const age = status && now - status.lastHeardAt;
  return age !== undefined && Number.isFinite(age)
    ? Math.round(age)
    : undefined;
}
