/** Calls the logs of peers with the peer protocol. */
import type {ZodType, z} from 'zod';
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {type Milliseconds, describeError, isFailure} from '@galenavalve/shared';
import type {PeerClient} from '@galenavalve/wire';
import type {NewestPage, TailPage} from '@galenavalve/workload';
import type {PeerEntry} from './peer_entry.js';
import type {AppendCall, PeerLogClient} from './peer_log_client.js';
import {
  APPEND_METHOD,
  NEWEST_METHOD,
  TAIL_METHOD,
  appendResponseSchema,
  newestResponseSchema,
  tailResponseSchema,
} from './serve_logs.js';

/** Client of peers' logs over TCP. */
export class WirePeerLogClient implements PeerLogClient {
  constructor(private readonly client: PeerClient) {}

  /** Appends through a peer; reports every failure as an outcome. */
  async append(
    peer: PeerEntry,
    log: string,
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    const body = {log, ...call, timeout};
    try {
      return await this.call(
        peer,
        APPEND_METHOD,
        body,
        timeout,
        appendResponseSchema,
      );
    } catch (error) {
      const kind = isNotExecuted(error) ? 'refused' : 'unknown';
      return {
        kind,
        problem: `call through a peer failed: ${describeError(error)}`,
      };
    }
  }

  /** Reads a page of the newest record of each key through a peer. */
  readNewest(
    peer: PeerEntry,
    log: string,
    after: string | undefined,
    timeout: Milliseconds,
  ): Promise<NewestPage> {
    return this.call(
      peer,
      NEWEST_METHOD,
      {log, after},
      timeout,
      newestResponseSchema,
    );
  }

  /** Reads the records from `offset` on through a peer. */
  readTail(
    peer: PeerEntry,
    log: string,
    offset: number,
    wait: Milliseconds,
    timeout: Milliseconds,
  ): Promise<TailPage> {
    const body = {log, offset, wait};
    return this.call(
      peer,
      TAIL_METHOD,
      body,
      wait + timeout,
      tailResponseSchema,
    );
  }

  private async call<Schema extends ZodType>(
    {instance, host, port}: PeerEntry,
    method: string,
    body: object,
    timeout: Milliseconds,
    schema: Schema,
  ): Promise<z.output<Schema>> {
    const peer = {instance, host, port};
    const response = await this.client.call(peer, method, body, timeout);
    return schema.parse(response);
  }
}

/** Returns whether an append was certainly not carried out: the peer reported that it does not reach the log, or the call was never sent. */
function isNotExecuted(error: unknown): boolean {
  return (
    isFailure(error, 'not-found') ||
    (isFailure(error) && error.details['wasSent'] === false)
  );
}
