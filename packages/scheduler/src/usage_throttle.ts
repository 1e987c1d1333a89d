/** Throttles tasks that use more processors or memory than their job declared. */
import {
  MAX_REPORT_AGE_MS,
  type Throttle,
  decideThrottle,
} from '@galenavalve/placement';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {LeaseRenewerEvent} from '@galenavalve/targets';
import type {SchedulerContext} from './scheduler_context.js';

/** Timeout of a throttle call. */
const THROTTLE_TIMEOUT_MS: Milliseconds = 1_000;

/** Processor limit that lifts a throttle; more than any target has. */
const UNLIMITED_PROCESSORS = 1e6;

/** Applies and lifts throttles during one term of a domain's scheduler. */
export class UsageThrottle {
  /** Throttled attempts, as `target jobId/attempt`. */
  private readonly throttledKeys = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Evaluates the usage that a target reported; ignores reports older than `MAX_REPORT_AGE_MS`. */
  onUsage(event: LeaseRenewerEvent & {kind: 'usage'}): void {
    if (event.ageMs > MAX_REPORT_AGE_MS) {
      return;
    }
    const now = this.context.clock.wallTime();
    for (const {jobId, attempt, processors, memoryMb} of event.usage) {
      const job = this.context.state.getJob(jobId);
      const assignment = job?.assignments.find(
        ({target}) => target === event.target,
      );
      if (!job || !assignment || job.attempts !== attempt) {
        continue;
      }
      const throttle = decideThrottle(
        {
          jobId,
          target: event.target,
          tasks: assignment.tasks,
          processors,
          memoryMb,
          measuredAt: now - event.ageMs,
        },
        job.request.gang,
        now,
      );
      this.apply(event.target, jobId, attempt, throttle);
    }
  }

  private apply(
    target: string,
    jobId: string,
    attempt: number,
    throttle: Throttle | null | undefined,
  ): void {
    const key = `${target} ${jobId}/${attempt}`;
    const isThrottled = this.throttledKeys.has(key);
    if (throttle && !isThrottled) {
      this.throttledKeys.add(key);
      void this.send(target, jobId, attempt, throttle.processors);
    }
    if (throttle === null && isThrottled) {
      this.throttledKeys.delete(key);
      void this.send(target, jobId, attempt, UNLIMITED_PROCESSORS);
    }
  }

  private async send(
    target: string,
    jobId: string,
    attempt: number,
    processors: number,
  ): Promise<void> {
    const {client, findAddress, term, logger} = this.context;
    const address = findAddress(target);
    if (!address) {
      return;
    }
    logger.info('throttled', {target, jobId, attempt, processors});
    try {
      const command = {jobId, attempt, term, processors};
      await client.throttle(address, command, THROTTLE_TIMEOUT_MS);
    } catch (error) {
      this.throttledKeys.delete(`${target} ${jobId}/${attempt}`);
      logger.warn('throttle-failed', {
        target,
        jobId,
        problem: describeError(error),
      });
    }
  }
}
