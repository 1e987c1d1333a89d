/** Failure domains that seem to be cut off: nothing new goes there until one of their targets answers. */
import type {Instant} from '@galenavalve/shared';
import type {TargetState} from '../target_state.js';

/** Targets whose answer is late before their domain is suspected: a single one has a fault of its own. */
const MIN_LATE_TARGETS = 2;

/** Domains in which several answers are late, and none came since the first of them was due. */
export function findSilentDomains(
  rooms: Iterable<TargetState>,
  now: Instant,
): ReadonlySet<string> {
  const domains = new Map<
    string,
    {late: number; firstDue: Instant; lastAnswer: Instant}
  >();
  for (const room of rooms) {
    const {domain} = room.info;
    const entry = domains.get(domain) ?? {
      late: 0,
      firstDue: Infinity,
      lastAnswer: -Infinity,
    };
    domains.set(domain, entry);
    entry.lastAnswer = Math.max(entry.lastAnswer, room.lastResponseAt);
    if (room.isRegistered && room.isResponseLate(now)) {
      entry.late++;
      entry.firstDue = Math.min(entry.firstDue, room.responseDueAt);
    }
  }
  const silent = new Set<string>();
  for (const [domain, {late, firstDue, lastAnswer}] of domains) {
    if (late >= MIN_LATE_TARGETS && lastAnswer < firstDue) {
      silent.add(domain);
    }
  }
  return silent;
}
