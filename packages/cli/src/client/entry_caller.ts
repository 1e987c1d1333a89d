/** Calls entry instances, one after the other, until one of them settles the call. */
import type {z} from 'zod';
import {ConnectionPool, NoAnswer, sendJson} from '@galenavalve/platform';
import {
  type Clock,
  type Instant,
  jitteredBackoff,
  type Milliseconds,
  type Random,
} from '@galenavalve/shared';
import {type AttemptResult, readAnswer} from './attempt_result.js';
import {CallFate} from './call_fate.js';
import type {RetryPolicy} from './retry_policy.js';

/** Largest answer, in bytes: an inventory of 8,200 targets has about 2 MB. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** A call that any entry instance can serve. */
export interface EntryCall<T> {
  method: 'GET' | 'POST' | 'DELETE';
  /** Path and query. */
  path: string;
  body?: unknown;
  schema: z.ZodType<T>;
  /** How long the instance may hold the answer back. */
  wait?: Milliseconds;
  /** Idempotency key of a command; undefined for a query. */
  commandId?: string;
}

/** Told when a call goes on with another attempt. */
export type RetryListener = (entry: string, problem: string) => void;

/** What a caller needs. */
export interface EntryCallerOptions {
  /** Base URLs of entry instances. */
  entries: readonly string[];
  policy: RetryPolicy;
  clock: Clock;
  random: Random;
  onRetry?: RetryListener;
}

/** Sends calls to the entry instance that answered last, and to the next one when it fails. */
export class EntryCaller {
  private readonly pool = new ConnectionPool();
  private readonly entries: string[];
  private current = 0;

  constructor(private readonly options: EntryCallerOptions) {
    this.entries = options.entries.map(entry => entry.replace(/\/+$/, ''));
  }

  /** Makes a call. Throws a `Failure` that tells what is known of it. */
  async call<T>(call: EntryCall<T>): Promise<T> {
    const {policy, clock} = this.options;
    const deadline = clock.now() + policy.deadline + (call.wait ?? 0);
    const fate = new CallFate(call.commandId);
    for (let attempt = 1; attempt <= policy.maxAttempts; attempt++) {
      const result = await this.attempt(call, deadline, fate);
      if (result?.kind === 'answered') {
        return result.value;
      }
      if (result?.kind === 'refused') {
        throw fate.settle(result.failure);
      }
      const pause = this.choosePause(attempt, result);
      const remaining = deadline - clock.now() - pause;
      if (
        remaining <= 0 ||
        (fate.isNotRun && remaining < this.timeoutOf(call))
      ) {
        // An attempt that is cut short would only turn "not run" into "unknown".
        break;
      }
      this.moveToNextEntry();
      await clock.sleep(pause);
    }
    throw fate.conclude();
  }

  /** Closes the connections. */
  close(): void {
    this.pool.close();
  }

  /** Makes one attempt; undefined when nothing could be sent. */
  private async attempt<T>(
    call: EntryCall<T>,
    deadline: Instant,
    fate: CallFate,
  ): Promise<AttemptResult<T> | undefined> {
    const remaining = Math.max(1, deadline - this.options.clock.now());
    const entry = this.entries[this.current] ?? '';
    try {
      const answer = await sendJson(this.pool, {
        method: call.method,
        url: entry + call.path,
        body: call.body,
        timeout: Math.ceil(Math.min(this.timeoutOf(call), remaining)),
        maxAnswerBytes: MAX_ANSWER_BYTES,
      });
      return this.note(entry, readAnswer(answer, call.schema), fate);
    } catch (error) {
      if (!(error instanceof NoAnswer)) {
        throw error;
      }
      if (error.wasSent) {
        const {message: problem} = error;
        return this.note(entry, {kind: 'uncertain', problem}, fate);
      }
      fate.noteUnsent(`${entry}: ${error.message}`);
      this.options.onRetry?.(entry, error.message);
      return undefined;
    }
  }

  /** How long one attempt may take. */
  private timeoutOf({commandId, wait}: EntryCall<unknown>): Milliseconds {
    const {commandTimeout, queryTimeout} = this.options.policy;
    return (commandId ? commandTimeout : queryTimeout) + (wait ?? 0);
  }

  private note<T>(
    entry: string,
    result: AttemptResult<T>,
    fate: CallFate,
  ): AttemptResult<T> {
    fate.note(result);
    if (result.kind === 'not-run') {
      this.options.onRetry?.(entry, result.failure.message);
    }
    if (result.kind === 'uncertain') {
      this.options.onRetry?.(entry, result.problem);
    }
    return result;
  }

  private moveToNextEntry(): void {
    this.current = (this.current + 1) % this.entries.length;
  }

  /** No pause before each entry was tried once; then full jitter, after what the instance asks for. */
  private choosePause(
    attempt: number,
    result: AttemptResult<unknown> | undefined,
  ): Milliseconds {
    if (attempt % this.entries.length !== 0) {
      return 0;
    }
    const {policy, random} = this.options;
    const round = attempt / this.entries.length - 1;
    const {backoffBase, backoffCap} = policy;
    const backoff = jitteredBackoff(round, backoffBase, backoffCap, random);
    const retryAfter = result?.kind === 'not-run' ? result.retryAfter : 0;
    return (retryAfter ?? 0) + backoff;
  }
}
