/** Throttles the gangs that use more than they declared, at their targets. */
import {
  MAX_REPORT_AGE_MS,
  type Throttle,
  decideThrottle,
} from '@galenavalve/placement';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {LeaseRenewerEvent} from '@galenavalve/targets';
import type {SchedulerContext} from './scheduler_context.js';

const CALL_TIMEOUT_MS: Milliseconds = 1_000;

/** Lifts a throttle: more processors than any target has. */
const UNLIMITED_PROCESSORS = 1e6;

/** Carries out throttles for one term of a domain's scheduler. */
export class UsageThrottle {
  /** Attempts that are throttled, by target. */
  private readonly throttled = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Judges the usage that a target reported; what is too old tells nothing. */
  onUsage(event: LeaseRenewerEvent & {kind: 'usage'}): void {
    if (event.ageMs > MAX_REPORT_AGE_MS) {
      return;
    }
    const now = this.context.clock.wallTime();
    for (const {jobId, attempt, processors, memoryMb} of event.usage) {
      const job = this.context.state.getJob(jobId);
      const part = job?.assignments.find(({target}) => target === event.target);
      if (!job || !part || job.attempts !== attempt) {
        continue;
      }
      const throttle = decideThrottle(
        {
          jobId,
          target: event.target,
          tasks: part.tasks,
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
    const isThrottled = this.throttled.has(key);
    if (throttle && !isThrottled) {
      this.throttled.add(key);
      void this.send(target, jobId, attempt, throttle.processors);
    }
    if (throttle === null && isThrottled) {
      this.throttled.delete(key);
      void this.send(target, jobId, attempt, UNLIMITED_PROCESSORS);
    }
  }

  private async send(
    target: string,
    jobId: string,
    attempt: number,
    processors: number,
  ): Promise<void> {
    const {client, findAddress: addressOf, term, logger} = this.context;
    const address = addressOf(target);
    if (!address) {
      return;
    }
    logger.info('throttled', {target, jobId, attempt, processors});
    try {
      const order = {jobId, attempt, term, processors};
      await client.throttle(address, order, CALL_TIMEOUT_MS);
    } catch (error) {
      this.throttled.delete(`${target} ${jobId}/${attempt}`);
      logger.warn('throttle-failed', {
        target,
        jobId,
        problem: describeError(error),
      });
    }
  }
}
