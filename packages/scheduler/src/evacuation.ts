/** Evacuation of failure domains and targets that go out of service. */
import {decideEvacuation} from '@galenavalve/placement';
import type {GangStopCoordinator} from './gang_stop_coordinator.js';
import type {SchedulerContext} from './scheduler_context.js';

/**
 * Stops the gangs that must leave, with a checkpoint if the placement package
 * decides so. Gangs for which it decides `wait` run to their end.
 */
export function evacuate(
  context: SchedulerContext,
  stopCoordinator: GangStopCoordinator,
): void {
  const {projection, state, clock} = context;
  const decisions = decideEvacuation(projection.cells, {}, clock.wallTime());
  for (const {jobId, action, reason} of decisions) {
    const job = state.getJob(jobId);
    if (job?.phase === 'running' && action !== 'wait') {
      stopCoordinator.begin(job, {reason, checkpoint: action === 'checkpoint'});
    }
  }
}
