/** What this instance tells its peers in a heartbeat. */
import type {SelfReport} from '@galenavalve/membership';
import type {Node} from '../node.js';

/** Stands for "never known to be current" on the wire, in milliseconds. */
const NEVER_FRESH_MS = 1e12;

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
    leaving: node.stage === 'stopping',
    ready: node.stage === 'serving',
    holds: node.mesh.holds(),
  };
}
