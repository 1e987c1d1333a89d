/** HTTP client of the targets. */
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

/** Largest response of a target, which includes the results of its tasks. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Maximum number of sockets to one host and port. */
const MAX_SOCKETS = 8;

/** Time after which an idle socket is closed; longer than the slowest poll. */
const IDLE_TIMEOUT_MS = 30_000;

/** Last segment of a command's path. */
type Command = 'reserve' | 'start' | 'stop' | 'renew' | 'fence' | 'throttle';

/**
 * Sends commands to targets, without retries. After a timeout the idle sockets
 * to that host and port are closed, so that the next command opens a new one;
 * sockets to other hosts and ports are kept.
 *
 * A command fails with `target-refused` when the target did not execute it, and
 * with `target-unreachable` when it may have taken effect.
 */
export class HttpTargetClient implements TargetClient {
  /** Connection pools by host and port. */
  private readonly pools = new Map<string, ConnectionPool>();

  async reserve(
    target: TargetAddress,
    reservation: Reservation,
    timeoutMs: Milliseconds,
  ): Promise<Grant> {
    return this.send(target, 'reserve', reservation, timeoutMs, grant);
  }

  async start(
    target: TargetAddress,
    command: StartCommand,
    timeoutMs: Milliseconds,
  ): Promise<void> {
    await this.send(target, 'start', command, timeoutMs, emptyResponse);
  }

  async stop(
    target: TargetAddress,
    command: StopCommand,
    timeoutMs: Milliseconds,
  ): Promise<LeaseReport | undefined> {
    const response = await this.send(
      target,
      'stop',
      command,
      timeoutMs,
      stopResponse,
    );
    return response.report;
  }

  async renew(
    target: TargetAddress,
    renewal: Renewal,
    timeoutMs: Milliseconds,
  ): Promise<TargetReport> {
    return this.fetchReport(target, 'renew', renewal, timeoutMs);
  }

  async fence(
    target: TargetAddress,
    command: z.infer<typeof fenceOrder>,
    timeoutMs: Milliseconds,
  ): Promise<TargetReport> {
    return this.fetchReport(target, 'fence', command, timeoutMs);
  }

  async throttle(
    target: TargetAddress,
    command: z.infer<typeof throttleOrder>,
    timeoutMs: Milliseconds,
  ): Promise<void> {
    await this.send(target, 'throttle', command, timeoutMs, emptyResponse);
  }

  /** Closes every connection. */
  close(): void {
    for (const pool of this.pools.values()) {
      pool.close();
    }
    this.pools.clear();
  }

  private async fetchReport(
    target: TargetAddress,
    command: Command,
    commandBody: unknown,
    timeoutMs: Milliseconds,
  ): Promise<TargetReport> {
    const report = await this.send(
      target,
      command,
      commandBody,
      timeoutMs,
      targetReport,
    );
    if (report.target !== target.id) {
      const problem = `the response came from target ${report.target}`;
      throw new Failure('target-unreachable', {target: target.id, problem});
    }
    return report;
  }

  private async send<S extends z.ZodType>(
    target: TargetAddress,
    command: Command,
    commandBody: unknown,
    timeoutMs: Milliseconds,
    schema: S,
  ): Promise<z.infer<S>> {
    const response = await this.post(target, command, commandBody, timeoutMs);
    if (isTooDeep(response.body)) {
      throw createFailure(target, {...response, body: undefined});
    }
    const body = schema.safeParse(response.body);
    if (response.status === 200 && body.success) {
      return body.data;
    }
    throw createFailure(target, response);
  }

  private async post(
    target: TargetAddress,
    command: Command,
    commandBody: unknown,
    timeoutMs: Milliseconds,
  ): Promise<JsonResponse> {
    try {
      return await sendJson(this.getPool(target), {
        method: 'POST',
        url: `${target.endpoint.replace(/\/+$/, '')}/v1/${command}`,
        body: commandBody,
        timeoutMs,
        maxResponseBytes: MAX_RESPONSE_BYTES,
      });
    } catch (error) {
      const details = {target: target.id, problem: describeError(error)};
      throw new Failure('target-unreachable', details, {cause: error});
    }
  }

  /** Returns the pool of the endpoint's host and port; creates it at first use. */
  private getPool({endpoint}: TargetAddress): ConnectionPool {
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

/** Treats a command as refused only if the target itself refuses it; after any other response it may have taken effect. */
function createFailure(
  {id: target}: TargetAddress,
  {status, body}: JsonResponse,
): Failure {
  const refusal = targetRefusal.safeParse(body);
  if (status === REFUSED_STATUS && refusal.success) {
    const problem = refusal.data.refused;
    return new Failure('target-refused', {target, problem});
  }
  const problem = `the response with status ${status} does not follow the target protocol`;
  return new Failure('target-unreachable', {target, problem});
}
