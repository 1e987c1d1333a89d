/** Tracks one job in the simulation of a policy. */
import type {RunningGang, WaitingJob} from '@galenavalve/placement';
import type {StreamJob} from './scenario.js';

/** State of a job from its arrival to its end. */
export class JobState {
  /** Run time that is left, in seconds. */
  remainingSeconds: number;
  domain = '';
  /** Time at which the job entered the queue of its domain, in seconds. */
  arrivedAt: number;
  /** Number of the current attempt; events of earlier attempts are ignored. */
  attempt = 0;
  gang: RunningGang | undefined;
  avoidTargets: string[] = [];
  /** Time at which the job ended, in seconds. */
  finishedAt: number | undefined;
  /** Time of the reclaim decision whose victims the job waits for, in seconds. */
  reclaimSince: number | undefined;
  /** Time since which the job waits although it fits into the unused guarantee of its workspace, in seconds. */
  guaranteeUnmetSince: number | undefined;
  /** Whether the job has been counted as a violation of the guarantee. */
  isViolated = false;

  constructor(readonly spec: StreamJob) {
    this.remainingSeconds = spec.runSeconds;
    this.arrivedAt = spec.arrivalSeconds;
  }

  /** Accelerators of the whole gang. */
  get acceleratorCount(): number {
    const {tasks, perTask} = this.spec.gang;
    return tasks * perTask.accelerators;
  }

  /** Returns the job as the input of a policy; `submittedAt` is in milliseconds. */
  toWaitingJob(): WaitingJob {
    const {spec} = this;
    const remainingShare = this.remainingSeconds / spec.runSeconds;
    return {
      jobId: spec.id,
      workspace: spec.workspace,
      gang: spec.gang,
      kind: spec.kind,
      urgent: false,
      repeatable: true,
      checkpointable: spec.checkpointable,
      expectedSeconds: Math.max(1, spec.declaredSeconds * remainingShare),
      submittedAt: spec.arrivalSeconds * 1000,
      avoidTargets: this.avoidTargets,
    };
  }
}
