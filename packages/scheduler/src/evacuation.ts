/** Empties what is leaving: a failure domain or a target that goes out of service. */
import {decideEvacuation} from '@galenavalve/placement';
import type {GangStopCoordinator} from './gang_stop_coordinator.js';
import type {SchedulerContext} from './scheduler_context.js';

/** Stops the gangs that have to go, with a checkpoint where they can; others end by themselves. */
export function evacuate(
  context: SchedulerContext,
  stop: GangStopCoordinator,
): void {
  const {projection: mirror, state, clock} = context;
  const decisions = decideEvacuation(mirror.cells, {}, clock.wallTime());
  for (const {jobId, action: step, reason} of decisions) {
    const job = state.getJob(jobId);
    if (job?.phase === 'running' && step !== 'wait') {
      stop.begin(job, {reason, checkpoint: step === 'checkpoint'});
    }
  }
}
