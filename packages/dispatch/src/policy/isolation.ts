/**
 * Isolation of units under which targets crashed: such a unit runs apart from
 * other work if it can, and nothing else starts beside it.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {type ActiveUnit, countMembers} from '../active_job.js';
import {hasRepeatedCrashes, needsIsolation} from '../crash_attribution.js';
import type {CandidateTarget} from './candidate_target.js';
import type {Placement} from './placement_search.js';

/** Time after a crash for which a unit waits for targets on which it can be isolated. */
const MAX_ISOLATION_WAIT_MS: Milliseconds = 2000;

/**
 * Share of a pool's targets that units under which one target crashed may close.
 * Many crashes at once have a cause outside of the tasks; isolating all suspects
 * would close the pool.
 */
const MAX_CLOSED_SHARE = 0.5;

/** Whether a suspect may be isolated on targets of a pool, whose targets are `candidates`. */
export function mayIsolate(
  unit: ActiveUnit,
  candidates: readonly CandidateTarget[],
): boolean {
  const closed = candidates.filter(({isClosed}) => isClosed).length;
  return (
    hasRepeatedCrashes(unit) ||
    closed < Math.max(1, candidates.length * MAX_CLOSED_SHARE)
  );
}

/** Returns the indexes of the members of a unit that are to be isolated. */
export function listIsolatedMembers(unit: ActiveUnit): number[] {
  return (unit.progress.crashes ?? [])
    .map(({member}) => member)
    .filter(member => needsIsolation(unit, member));
}

/** Whether a unit waits for targets on which it can be isolated rather than start beside other work. */
export function mayWaitForIsolation(unit: ActiveUnit, now: Instant): boolean {
  return now - unit.lastCrashAt < MAX_ISOLATION_WAIT_MS;
}

/**
 * Returns the candidates on which a unit is isolated: empty ones for a single
 * task; for a gang, which rarely finds enough of them in one rack, those without
 * runs that could be blamed for a crash of the gang.
 */
export function listIsolatedCandidates(
  unit: ActiveUnit,
  candidates: readonly CandidateTarget[],
): CandidateTarget[] {
  return candidates.filter(({isEmpty, hasUnlistedRun}) =>
    countMembers(unit) === 1 ? isEmpty : !hasUnlistedRun,
  );
}

/** Closes the targets of isolated members to units that are placed later. */
export function closeTargets(
  {shares}: Placement,
  isolatedMembers: readonly number[],
): void {
  const candidates = shares.flatMap(({candidate, members}) =>
    Array.from({length: members}, () => candidate),
  );
  for (const member of isolatedMembers) {
    const candidate = candidates[member];
    if (candidate) {
      candidate.isClosed = true;
    }
  }
}
