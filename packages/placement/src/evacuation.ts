/** Decides how a failure domain or a target is emptied. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Cells} from './cells.js';
import type {RunningGang} from './policy.js';
import {estimateEnd} from './reservation.js';
import type {TargetCell} from './target_cell.js';

/** What happens to a gang that runs on a part that is being emptied. */
export type EvacuationAction =
  /** Save its progress, stop it and queue it elsewhere. */
  | 'checkpoint'
  /** Let it end by itself. */
  | 'wait'
  /** Stop it and run it again elsewhere. */
  | 'restart';

/** The decision for one gang. */
export interface EvacuationDecision {
  jobId: string;
  action: EvacuationAction;
  /** Wall-clock milliseconds at which the gang is expected to be gone. */
  expectedEndAt: number;
  reason: Reason;
}

/** How soon a part has to be empty. */
export interface EvacuationRequest {
  /** Wall-clock milliseconds after which nothing can run there; absent when gangs may end by themselves. */
  deadline?: number;
}

/**
 * Decides for every gang that touches a part which is leaving or out. A gang
 * that may not be repeated is never stopped here: it ends by itself, or with
 * the deadline.
 */
export function decideEvacuation(
  cells: Cells,
  {deadline}: EvacuationRequest,
  now: number,
): EvacuationDecision[] {
  const decisions: EvacuationDecision[] = [];
  const graceMs = cells.rules.checkpointGraceSeconds * 1000;
  for (const gang of cells.listGangs()) {
    const part = findLeavingPart(cells, gang);
    if (part && !gang.stopping) {
      const endsAt = estimateEnd(cells, gang, now);
      const step = chooseStep(gang, endsAt, now + graceMs, deadline);
      const goneAt = step === 'wait' ? endsAt : now + graceMs;
      decisions.push({
        jobId: gang.jobId,
        action: step,
        expectedEndAt: goneAt,
        reason: part,
      });
    }
  }
  return decisions.sort((a, b) => a.expectedEndAt - b.expectedEndAt);
}

function chooseStep(
  gang: RunningGang,
  endsAt: number,
  graceEnd: number,
  deadline: number | undefined,
): EvacuationAction {
  const endsInTime = endsAt <= (deadline ?? Infinity);
  if (endsAt <= graceEnd) {
    return 'wait';
  }
  if (gang.checkpointable) {
    return 'checkpoint';
  }
  return endsInTime || !gang.repeatable ? 'wait' : 'restart';
}

/** Why a gang has to go; undefined when all its targets stay. */
function findLeavingPart(cells: Cells, gang: RunningGang): Reason | undefined {
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
