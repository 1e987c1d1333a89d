/** Runs one call with retries, backoff and hedged requests. */
import {
  type Clock,
  type Instant,
  computeJitteredBackoff,
  type Milliseconds,
  type Random,
} from '@galenavalve/shared';
import {type AttemptResult, findProblem} from './attempt_result.js';
import {CallOutcome} from './call_outcome.js';
import type {RetryPolicy} from './retry_policy.js';

/**
 * Makes one attempt with the entry instance of an index; does not reject when
 * the attempt fails.
 */
export type Attempt<T> = (
  entry: number,
  timeoutMs: Milliseconds,
) => Promise<AttemptResult<T>>;

/** Options of a `RetryingCall`. */
export interface RetryingCallOptions<T> {
  attempt: Attempt<T>;
  entryCount: number;
  /** Index of the entry instance that is called first. */
  firstEntry: number;
  /** Idempotency key of a command; undefined for a query. */
  commandId?: string;
  /** Time for which the instance may delay the response. */
  waitMs: Milliseconds;
  /** Called with the reason when another attempt is needed. */
  onProblem: (entry: number, problem: string) => void;
  policy: RetryPolicy;
  clock: Clock;
  random: Random;
}

/**
 * Calls the entry instances in rounds. A round calls each instance at most once,
 * the next one as soon as the latest attempt has failed or is slow. Concurrent
 * attempts are safe because commands carry idempotency keys. A backoff with full
 * jitter separates the rounds.
 */
export class RetryingCall<T> {
  private readonly outcome: CallOutcome;
  private readonly deadline: Instant;
  private readonly pendingAttempts = new Set<Promise<AttemptResult<T>>>();
  private attemptCount = 0;
  private isSettled = false;

  constructor(private readonly options: RetryingCallOptions<T>) {
    const {clock, policy, waitMs, commandId} = options;
    this.outcome = new CallOutcome(commandId);
    this.deadline = clock.now() + policy.callTimeoutMs + waitMs;
  }

  /**
   * Resolves to the response. Throws a `Failure` that says whether the call may
   * have taken effect.
   */
  async run(): Promise<T> {
    try {
      return await this.runRounds();
    } finally {
      this.isSettled = true;
    }
  }

  private async runRounds(): Promise<T> {
    for (let round = 0; ; round++) {
      const result = await this.runRound();
      if (result?.kind === 'completed') {
        return result.value;
      }
      if (result?.kind === 'refused') {
        throw this.outcome.createRefusalFailure(result.failure);
      }
      const pauseMs = this.computePauseMs(round, result);
      if (!this.canAttempt(pauseMs)) {
        throw this.outcome.createFinalFailure();
      }
      await this.options.clock.sleep(pauseMs);
    }
  }

  /**
   * Runs one round. Unless a response completes it, awaits all pending
   * attempts: after a refusal too, since they may have been recorded meanwhile.
   */
  private async runRound(): Promise<AttemptResult<T> | undefined> {
    const {entryCount, firstEntry} = this.options;
    let latest: AttemptResult<T> | undefined;
    for (let i = 0; i < entryCount && this.canAttempt(0); i++) {
      this.startAttempt((firstEntry + i) % entryCount);
      latest = (await this.waitForResult()) ?? latest;
      if (latest?.kind === 'completed' || latest?.kind === 'refused') {
        break;
      }
    }
    while (latest?.kind !== 'completed' && this.pendingAttempts.size > 0) {
      const result = await Promise.race(this.pendingAttempts);
      if (result.kind === 'completed' || latest?.kind !== 'refused') {
        latest = result;
      }
    }
    return latest;
  }

  private startAttempt(entry: number): void {
    const remainingMs = Math.max(1, this.getRemainingMs());
    const timeoutMs = Math.ceil(Math.min(this.attemptTimeoutMs, remainingMs));
    this.attemptCount++;
    const attempt = this.options.attempt(entry, timeoutMs).then(result => {
      this.pendingAttempts.delete(attempt);
      this.recordResult(entry, result);
      return result;
    });
    this.pendingAttempts.add(attempt);
  }

  private recordResult(entry: number, result: AttemptResult<T>): void {
    this.outcome.addResult(result);
    const problem = findProblem(result);
    if (problem !== undefined && !this.isSettled) {
      this.options.onProblem(entry, problem);
    }
  }

  /** Awaits the next result; undefined if none arrives within the hedge delay plus `waitMs`. */
  private async waitForResult(): Promise<AttemptResult<T> | undefined> {
    const {clock, policy, waitMs} = this.options;
    const timerAbort = new AbortController();
    const hedgeTimer = clock
      .sleep(policy.hedgeDelayMs + waitMs, timerAbort.signal)
      .then(() => undefined);
    try {
      return await Promise.race([...this.pendingAttempts, hedgeTimer]);
    } finally {
      timerAbort.abort();
    }
  }

  /**
   * Checks whether another attempt may start after `pauseMs`. It may not if the
   * deadline could cut it off and so turn a certain "not run" into "unknown".
   */
  private canAttempt(pauseMs: Milliseconds): boolean {
    const remainingMs = this.getRemainingMs() - pauseMs;
    const isRisky =
      this.outcome.isNotRun &&
      this.pendingAttempts.size === 0 &&
      remainingMs < this.attemptTimeoutMs;
    return (
      remainingMs > 0 &&
      this.attemptCount < this.options.policy.maxAttempts &&
      !isRisky
    );
  }

  private get attemptTimeoutMs(): Milliseconds {
    const {policy, commandId, waitMs} = this.options;
    const timeoutMs = commandId
      ? policy.commandTimeoutMs
      : policy.queryTimeoutMs;
    return timeoutMs + waitMs;
  }

  private getRemainingMs(): Milliseconds {
    return this.deadline - this.options.clock.now();
  }

  /**
   * Computes the pause before the next round: the backoff, added to the
   * instance's Retry-After.
   */
  private computePauseMs(
    round: number,
    result: AttemptResult<T> | undefined,
  ): Milliseconds {
    const {policy, random} = this.options;
    const {backoffBaseMs, backoffCapMs} = policy;
    const backoffMs = computeJitteredBackoff(
      round,
      backoffBaseMs,
      backoffCapMs,
      random,
    );
    const retryAfterMs = result?.kind === 'not-run' ? result.retryAfterMs : 0;
    return (retryAfterMs ?? 0) + backoffMs;
  }
}
