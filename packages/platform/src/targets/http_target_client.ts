/** The platform's targets over HTTP. */
import {Agent} from 'node:http';
import type {z} from 'zod';
import {
  Failure,
  type Milliseconds,
  describeError,
  isTooDeep,
} from '@galenavalve/shared';
import {
  type Grant,
  type LeaseReport,
  type Renewal,
  type Reservation,
  type StartCommand,
  type StopCommand,
  type TargetAddress,
  type TargetClient,
  type TargetReport,
  grant,
  targetReport,
} from '@galenavalve/targets';
import {ConnectionPool} from '../http/connection_pool.js';
import {type JsonResponse, sendJson} from '../http/json_client.js';
import {
  REFUSED_STATUS,
  type fenceOrder,
  emptyResponse,
  stopResponse,
  targetRefusal,
  type throttleOrder,
} from './target_protocol.js';

/** Largest answer of a target, in bytes: the results of its tasks are in it. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** Most sockets to one address. */
const MAX_SOCKETS = 8;

/** An idle socket is closed after this time, in milliseconds; longer than the slowest poll. */
const IDLE_TIMEOUT_MS = 30_000;

type Command = 'reserve' | 'start' | 'stop' | 'renew' | 'fence' | 'throttle';

/**
 * Sends commands to targets. Nothing is repeated here. After a timeout the
 * idle sockets to that address are dropped, so that the next command opens a
 * new one; the other targets keep theirs.
 */
export class HttpTargetClient implements TargetClient {
  /** By host and port. */
  private readonly pools = new Map<string, ConnectionPool>();

  async reserve(
    target: TargetAddress,
    order: Reservation,
    timeout: Milliseconds,
  ): Promise<Grant> {
    return this.send(target, 'reserve', order, timeout, grant);
  }

  async start(
    target: TargetAddress,
    order: StartCommand,
    timeout: Milliseconds,
  ): Promise<void> {
    await this.send(target, 'start', order, timeout, emptyResponse);
  }

  async stop(
    target: TargetAddress,
    order: StopCommand,
    timeout: Milliseconds,
  ): Promise<LeaseReport | undefined> {
    const answer = await this.send(
      target,
      'stop',
      order,
      timeout,
      stopResponse,
    );
    return answer.report;
  }

  async renew(
    target: TargetAddress,
    order: Renewal,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.readReport(target, 'renew', order, timeout);
  }

  async fence(
    target: TargetAddress,
    order: z.infer<typeof fenceOrder>,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    return this.readReport(target, 'fence', order, timeout);
  }

  async throttle(
    target: TargetAddress,
    order: z.infer<typeof throttleOrder>,
    timeout: Milliseconds,
  ): Promise<void> {
    await this.send(target, 'throttle', order, timeout, emptyResponse);
  }

  /** Closes every connection. */
  close(): void {
    for (const pool of this.pools.values()) {
      pool.close();
    }
    this.pools.clear();
  }

  private async readReport(
    target: TargetAddress,
    command: Command,
    order: unknown,
    timeout: Milliseconds,
  ): Promise<TargetReport> {
    const report = await this.send(
      target,
      command,
      order,
      timeout,
      targetReport,
    );
    if (report.target !== target.id) {
      const problem = `the answer is of target ${report.target}`;
      throw new Failure('target-unreachable', {target: target.id, problem});
    }
    return report;
  }

  private async send<S extends z.ZodType>(
    target: TargetAddress,
    command: Command,
    order: unknown,
    timeout: Milliseconds,
    schema: S,
  ): Promise<z.infer<S>> {
    const answer = await this.post(target, command, order, timeout);
    if (isTooDeep(answer.body)) {
      throw createFailure(target, {...answer, body: undefined});
    }
    const body = schema.safeParse(answer.body);
    if (answer.status === 200 && body.success) {
      return body.data;
    }
    throw createFailure(target, answer);
  }

  private async post(
    target: TargetAddress,
    command: Command,
    order: unknown,
    timeout: Milliseconds,
  ): Promise<JsonResponse> {
    try {
      return await sendJson(this.poolOf(target), {
        method: 'POST',
        url: `${target.endpoint.replace(/\/+$/, '')}/v1/${command}`,
        body: order,
        timeoutMs: timeout,
        maxResponseBytes: MAX_ANSWER_BYTES,
      });
    } catch (error) {
      const details = {target: target.id, problem: describeError(error)};
      throw new Failure('target-unreachable', details, {cause: error});
    }
  }

  private poolOf({endpoint}: TargetAddress): ConnectionPool {
    const {host} = new URL(endpoint);
    let pool = this.pools.get(host);
    if (!pool) {
      pool = new ConnectionPool(
        new Agent({
          keepAlive: true,
          maxSockets: MAX_SOCKETS,
          timeout: IDLE_TIMEOUT_MS,
          scheduling: 'lifo',
        }),
      );
      this.pools.set(host, pool);
    }
    return pool;
  }
}

/** A refusal counts only in the target's own words; anything else may have taken effect. */
function createFailure(
  {id: target}: TargetAddress,
  {status, body}: JsonResponse,
): Failure {
  const refusal = targetRefusal.safeParse(body);
  if (status === REFUSED_STATUS && refusal.success) {
    const problem = refusal.data.refused;
    return new Failure('target-refused', {target, problem});
  }
  const problem = `the answer with status ${status} is not one of a target's`;
  return new Failure('target-unreachable', {target, problem});
}
