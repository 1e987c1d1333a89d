/** Sends calls to entry instances, with retries and hedged requests. */
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

/** Size limit of a response; an inventory of 8,200 targets has about 2 MB. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** A call that any entry instance can serve. */
export interface EntryCall<T> {
  method: 'GET' | 'POST' | 'DELETE';
  /** Path with query string. */
  path: string;
  body?: unknown;
  /** Schema of a successful response. */
  schema: z.ZodType<T>;
  /** Time for which the instance may delay the response. */
  waitMs?: Milliseconds;
  /** Idempotency key of a command; undefined for a query. */
  commandId?: string;
}

/** Called with the base URL and the reason when an attempt has to be followed by another one. */
export type RetryListener = (entry: string, problem: string) => void;

/** Options of an `EntryCaller`. */
export interface EntryCallerOptions {
  /** Base URLs of entry instances. */
  entries: readonly string[];
  policy: RetryPolicy;
  clock: Clock;
  random: Random;
  onRetry?: RetryListener;
}

/** Calls the entry instance that responded last, and the others when it fails or is slow. */
export class EntryCaller {
  private readonly pool = new ConnectionPool();
  private readonly entries: string[];
  /** Index of the entry instance that responded last. */
  private preferredEntry = 0;

  constructor(private readonly options: EntryCallerOptions) {
    this.entries = options.entries.map(entry => entry.replace(/\/+$/, ''));
  }

  /** Makes a call. Throws a `Failure` that says whether the call may have taken effect. */
  call<T>(call: EntryCall<T>): Promise<T> {
    const {policy, clock, random} = this.options;
    const retryingCall = new RetryingCall<T>({
      attempt: (entry, timeoutMs) => this.attempt(call, entry, timeoutMs),
      entryCount: this.entries.length,
      firstEntry: this.preferredEntry,
      commandId: call.commandId,
      waitMs: call.waitMs ?? 0,
      onProblem: (entry, problem) =>
        this.options.onRetry?.(this.entries[entry] ?? '', problem),
      policy,
      clock,
      random,
    });
    return retryingCall.run();
  }

  /** Closes the connections; pending attempts fail. */
  close(): void {
    this.pool.close();
  }

  private async attempt<T>(
    call: EntryCall<T>,
    index: number,
    timeoutMs: Milliseconds,
  ): Promise<AttemptResult<T>> {
    const entry = this.entries[index] ?? '';
    const result = await sendJson(this.pool, {
      method: call.method,
      url: entry + call.path,
      body: call.body,
      timeoutMs,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    }).then(
      response => classifyResponse(response, call.schema),
      (error: unknown) => classifyError(error),
    );
    if (result.kind === 'completed') {
      this.preferredEntry = index;
    }
    return result;
  }
}
