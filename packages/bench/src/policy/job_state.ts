/** What the event loop knows of one job. */
import type {RunningGang, WaitingJob} from '@galenavalve/placement';
import type {StreamJob} from './scenario.js';

/** A job from its arrival to its end. */
export class JobState {
  /** Run time that is still missing, in seconds. */
  remainingSeconds: number;
  domain = '';
  /** Seconds at which it came to its domain. */
  arrivedAt: number;
  /** Counts attempts, so that events of earlier ones are dropped. */
  attempt = 0;
  gang: RunningGang | undefined;
  avoidTargets: string[] = [];
  finishedAt: number | undefined;
  /** Seconds since which it waits for gangs to stop. */
  reclaimSince: number | undefined;
  /** Seconds since which it waits although its workspace's unused promise holds it. */
  guaranteeUnmetSince: number | undefined;
  isViolated = false;

  constructor(readonly spec: StreamJob) {
    this.remainingSeconds = spec.runSeconds;
    this.arrivedAt = spec.arrivalSeconds;
  }

  get acceleratorCount(): number {
    const {tasks, perTask} = this.spec.gang;
    return tasks * perTask.accelerators;
  }

  /** The job as a policy sees it. */
  toWaitingJob(): WaitingJob {
    const {spec: stream} = this;
    const share = this.remainingSeconds / stream.runSeconds;
    return {
      jobId: stream.id,
      workspace: stream.workspace,
      gang: stream.gang,
      kind: stream.kind,
      urgent: false,
      repeatable: true,
      checkpointable: stream.checkpointable,
      expectedSeconds: Math.max(1, stream.declaredSeconds * share),
      submittedAt: stream.arrivalSeconds * 1000,
      avoidTargets: this.avoidTargets,
    };
  }
}
