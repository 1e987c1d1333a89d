/** Decides how the gangs of a failure domain or target that leaves service are removed. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Cells} from './cells.js';
import type {RunningGang} from './policy.js';
import {estimateEnd} from './reservation.js';
import type {TargetCell} from './target_cell.js';

/** What happens to a gang on a domain or target that is being evacuated. */
export type EvacuationAction =
  /** Saves its progress, stops it and queues it elsewhere. */
  | 'checkpoint'
  /** Lets it end by itself. */
  | 'wait'
  /** Stops it and runs it again elsewhere. */
  | 'restart';

/** Decision for one gang. */
export interface EvacuationDecision {
  jobId: string;
  action: EvacuationAction;
  /** Wall-clock milliseconds at which the gang is expected to have ended. */
  expectedEndAt: number;
  reason: Reason;
}

/** Time limit of an evacuation. */
export interface EvacuationRequest {
  /**
   * Wall-clock milliseconds after which nothing can run there; absent if gangs
   * may end by themselves.
   */
  deadline?: number;
}

/**
 * Decides for every gang that uses a domain or target which is leaving or out,
 * and orders the decisions by expected end. A gang that is neither checkpointable
 * nor repeatable is never stopped here: it ends by itself, or at the deadline.
 */
export function decideEvacuation(
  cells: Cells,
  {deadline}: EvacuationRequest,
  now: number,
): EvacuationDecision[] {
  const decisions: EvacuationDecision[] = [];
  const graceMs = cells.rules.checkpointGraceSeconds * 1000;
  for (const gang of cells.listGangs()) {
    const reason = findEvacuationReason(cells, gang);
    if (reason && !gang.stopping) {
      const endsAt = estimateEnd(cells, gang, now);
      const action = chooseAction(gang, endsAt, now + graceMs, deadline);
      const expectedEndAt = action === 'wait' ? endsAt : now + graceMs;
      decisions.push({
        jobId: gang.jobId,
        action,
        expectedEndAt,
        reason,
      });
    }
  }
  return decisions.sort((a, b) => a.expectedEndAt - b.expectedEndAt);
}

function chooseAction(
  gang: RunningGang,
  endsAt: number,
  graceEnd: number,
  deadline: number | undefined,
): EvacuationAction {
  const isEndingInTime = endsAt <= (deadline ?? Infinity);
  if (endsAt <= graceEnd) {
    return 'wait';
  }
  if (gang.checkpointable) {
    return 'checkpoint';
  }
  return isEndingInTime || !gang.repeatable ? 'wait' : 'restart';
}

/** Returns why a gang has to be evacuated, or undefined if all its targets stay in service. */
function findEvacuationReason(
  cells: Cells,
  gang: RunningGang,
): Reason | undefined {
  if (!cells.isInService) {
    return createReason('preempted-domain-out', {domain: cells.domain});
  }
  for (const {target: id} of gang.assignments) {
    const target = cells.targets.get(id);
    if (target && isLeaving(target)) {
      return createReason('preempted-target-leaving', {target: id});
    }
  }
  return undefined;
}

function isLeaving({spec, condition}: TargetCell): boolean {
  return (
    spec.state !== 'in-service' ||
    condition === 'leaving' ||
    condition === 'out'
  );
}
