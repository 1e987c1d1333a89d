/** What the event loop knows of one job. */
import type {RunningGang, WaitingJob} from '@galenavalve/placement';
import type {StreamJob} from './stream.js';

/** A job from its arrival to its end. */
export class JobState {
  /** Run time that is still missing, in seconds. */
  remaining: number;
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
  promisedSince: number | undefined;
  isViolated = false;

  constructor(readonly stream: StreamJob) {
    this.remaining = stream.seconds;
    this.arrivedAt = stream.arrival;
  }

  get size(): number {
    const {tasks, perTask} = this.stream.gang;
    return tasks * perTask.accelerators;
  }

  /** The job as a policy sees it. */
  toWaitingJob(): WaitingJob {
    const {stream} = this;
    const share = this.remaining / stream.seconds;
    return {
      jobId: stream.id,
      workspace: stream.workspace,
      gang: stream.gang,
      kind: stream.kind,
      urgent: false,
      repeatable: true,
      checkpointable: stream.checkpointable,
      expectedSeconds: Math.max(1, stream.declaredSeconds * share),
      submittedAt: stream.arrival * 1000,
      avoidTargets: this.avoidTargets,
    };
  }
}
