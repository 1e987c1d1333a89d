/** One call from its first attempt to its fate. */
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

/** Makes one attempt with the entry instance of an index; never rejects for a failed attempt. */
export type Attempt<T> = (
  entry: number,
  timeout: Milliseconds,
) => Promise<AttemptResult<T>>;

/** What a run needs. */
export interface RetryingCallOptions<T> {
  attempt: Attempt<T>;
  entryCount: number;
  /** Index of the entry instance that is asked first. */
  firstEntry: number;
  /** Idempotency key of a command; undefined for a query. */
  commandId?: string;
  /** How long the instance may hold the answer back. */
  waitMs: Milliseconds;
  /** Told why another attempt is needed. */
  onProblem: (entry: number, problem: string) => void;
  policy: RetryPolicy;
  clock: Clock;
  random: Random;
}

/**
 * Asks the entry instances in rounds. In a round each is asked once, the next
 * as soon as the latest has failed or is slow: commands carry ids, so that
 * several attempts at once do no harm. Rounds are apart by full jitter.
 */
export class RetryingCall<T> {
  private readonly fate: CallOutcome;
  private readonly deadline: Instant;
  private readonly pending = new Set<Promise<AttemptResult<T>>>();
  private attempts = 0;
  private isOver = false;

  constructor(private readonly options: RetryingCallOptions<T>) {
    const {clock, policy, waitMs: wait, commandId} = options;
    this.fate = new CallOutcome(commandId);
    this.deadline = clock.now() + policy.callTimeoutMs + wait;
  }

  /** Resolves to the answer. Throws a `Failure` that tells what is known of the call. */
  async run(): Promise<T> {
    try {
      return await this.askInRounds();
    } finally {
      this.isOver = true;
    }
  }

  private async askInRounds(): Promise<T> {
    for (let round = 0; ; round++) {
      const result = await this.askEach();
      if (result?.kind === 'answered') {
        return result.value;
      }
      if (result?.kind === 'refused') {
        throw this.fate.createRefusalFailure(result.failure);
      }
      const pause = this.choosePause(round, result);
      if (!this.mayAttempt(pause)) {
        throw this.fate.createFinalFailure();
      }
      await this.options.clock.sleep(pause);
    }
  }

  /** One round. A refusal waits for pending attempts, which may have been recorded meanwhile. */
  private async askEach(): Promise<AttemptResult<T> | undefined> {
    const {entryCount, firstEntry} = this.options;
    let latest: AttemptResult<T> | undefined;
    for (let i = 0; i < entryCount && this.mayAttempt(0); i++) {
      this.startAttempt((firstEntry + i) % entryCount);
      latest = (await this.nextResult()) ?? latest;
      if (latest?.kind === 'answered' || latest?.kind === 'refused') {
        break;
      }
    }
    while (latest?.kind !== 'answered' && this.pending.size > 0) {
      const result = await Promise.race(this.pending);
      if (result.kind === 'answered' || latest?.kind !== 'refused') {
        latest = result;
      }
    }
    return latest;
  }

  private startAttempt(entry: number): void {
    const remaining = Math.max(1, this.remaining());
    const timeout = Math.ceil(Math.min(this.attemptTimeout, remaining));
    this.attempts++;
    const attempt = this.options.attempt(entry, timeout).then(result => {
      this.pending.delete(attempt);
      this.note(entry, result);
      return result;
    });
    this.pending.add(attempt);
  }

  private note(entry: number, result: AttemptResult<T>): void {
    this.fate.addResult(result);
    const problem = findProblem(result);
    if (problem !== undefined && !this.isOver) {
      this.options.onProblem(entry, problem);
    }
  }

  /** The next result; undefined when all pending attempts are slow. */
  private async nextResult(): Promise<AttemptResult<T> | undefined> {
    const {clock, policy, waitMs: wait} = this.options;
    const stop = new AbortController();
    const isSlow = clock
      .sleep(policy.hedgeDelayMs + wait, stop.signal)
      .then(() => undefined);
    try {
      return await Promise.race([...this.pending, isSlow]);
    } finally {
      stop.abort();
    }
  }

  /**
   * Tells whether an attempt after `pause` is of use. One that the deadline
   * cuts short could turn a certain "not run" into "unknown".
   */
  private mayAttempt(pause: Milliseconds): boolean {
    const remaining = this.remaining() - pause;
    const isRisky =
      this.fate.isNotRun &&
      this.pending.size === 0 &&
      remaining < this.attemptTimeout;
    return (
      remaining > 0 &&
      this.attempts < this.options.policy.maxAttempts &&
      !isRisky
    );
  }

  private get attemptTimeout(): Milliseconds {
    const {policy, commandId, waitMs: wait} = this.options;
    const timeout = commandId ? policy.commandTimeoutMs : policy.queryTimeoutMs;
    return timeout + wait;
  }

  private remaining(): Milliseconds {
    return this.deadline - this.options.clock.now();
  }

  /** Full jitter, after what the instance asks for. */
  private choosePause(
    round: number,
    result: AttemptResult<T> | undefined,
  ): Milliseconds {
    const {policy, random} = this.options;
    const {backoffBaseMs: backoffBase, backoffCapMs: backoffCap} = policy;
    const backoff = computeJitteredBackoff(
      round,
      backoffBase,
      backoffCap,
      random,
    );
    const retryAfter = result?.kind === 'not-run' ? result.retryAfter : 0;
    return (retryAfter ?? 0) + backoff;
  }
}
