/** Sends calls to entry instances. */
import type {z} from 'zod';
import {ConnectionPool, sendJson} from '@galenavalve/platform';
import type {Clock, Milliseconds, Random} from '@galenavalve/shared';
import {
  type AttemptResult,
  classifyResponse,
  classifyError,
} from './attempt_result.js';
import {RetryingCall} from './retrying_call.js';
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
  waitMs?: Milliseconds;
  /** Idempotency key of a command; undefined for a query. */
  commandId?: string;
}

/** Told of each attempt that did not settle its call. */
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

/** Asks the entry instance that answered last, and the others when it fails or is slow. */
export class EntryCaller {
  private readonly pool = new ConnectionPool();
  private readonly entries: string[];
  private current = 0;

  constructor(private readonly options: EntryCallerOptions) {
    this.entries = options.entries.map(entry => entry.replace(/\/+$/, ''));
  }

  /** Makes a call. Throws a `Failure` that tells what is known of it. */
  call<T>(call: EntryCall<T>): Promise<T> {
    const {policy, clock, random} = this.options;
    const run = new RetryingCall<T>({
      attempt: (entry, timeout) => this.attempt(call, entry, timeout),
      entryCount: this.entries.length,
      firstEntry: this.current,
      commandId: call.commandId,
      waitMs: call.waitMs ?? 0,
      onProblem: (entry, problem) =>
        this.options.onRetry?.(this.entries[entry] ?? '', problem),
      policy,
      clock,
      random,
    });
    return run.run();
  }

  /** Closes the connections; attempts that are not answered yet end. */
  close(): void {
    this.pool.close();
  }

  private async attempt<T>(
    call: EntryCall<T>,
    index: number,
    timeout: Milliseconds,
  ): Promise<AttemptResult<T>> {
    const entry = this.entries[index] ?? '';
    const result = await sendJson(this.pool, {
      method: call.method,
      url: entry + call.path,
      body: call.body,
      timeoutMs: timeout,
      maxResponseBytes: MAX_ANSWER_BYTES,
    }).then(
      answer => classifyResponse(answer, call.schema),
      (error: unknown) => classifyError(error),
    );
    if (result.kind === 'answered') {
      this.current = index;
    }
    return result;
  }
}
