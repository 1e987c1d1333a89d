/** Stand-in for a target's HTTP interface, backed by an emulated target. */
import type {
  PollOutcome,
  CommandOutcome,
  TargetPort,
} from '@galenavalve/dispatch';
import {type Standin, type StandinResponse, serveHttp} from './http_standin.js';

/** Timeout of a command or poll; afterwards no response is sent. */
const COMMAND_TIMEOUT_MS = 1000;

/** Reasons of refusals in the platform's protocol. */
const REFUSAL_REASONS = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
  room: 'room',
  ticket: 'ticket',
};

/** Serves the emulated target with the given id; `findAddress` returns the address that the target is registered with. */
export function serveTarget(
  port: TargetPort,
  id: string,
  findAddress: () => string,
): Promise<Standin> {
  return serveHttp(async ({path, body}) => {
    const request = JSON.parse(body.toString('utf8'));
    const target = {id, address: findAddress()};
    switch (path) {
      case '/v1/run-start':
        return createResponse(
          await port.start(
            target,
            {
              task: request.task,
              run: request.run,
              payload: request.spec,
              checkpoint: request.checkpoint ?? '',
              leaseUntil: request.until_ms,
              epoch: request.fence,
            },
            COMMAND_TIMEOUT_MS,
          ),
        );
      case '/v1/run-stop': {
        const command = {
          task: request.task,
          run: request.run,
          epoch: request.fence,
        };
        return createResponse(
          await port.stop(target, command, COMMAND_TIMEOUT_MS),
        );
      }
      case '/v1/hold': {
        const poll = {
          epoch: request.fence,
          leaseUntil: request.until_ms,
          acknowledgedEnd: request.ack_offset,
          wait: request.wait_ms ?? 0,
        };
        return createResponse(
          await port.poll(target, poll, COMMAND_TIMEOUT_MS),
        );
      }
      default:
        return {status: 404, body: {}};
    }
  });
}

/** Converts an outcome to a response; unknown outcomes get none. */
function createResponse(
  outcome: CommandOutcome | PollOutcome,
): StandinResponse {
  switch (outcome.kind) {
    case 'done':
      return {status: 200, body: {clock_ms: outcome.clock}};
    case 'listed': {
      const {born, clock, running, ended} = outcome.listing;
      return {
        status: 200,
        body: {
          born,
          clock_ms: clock,
          running: running.map(run => [
            run.task,
            run.run,
            run.checkpoint,
            run.percent,
          ]),
          ended: ended.map(end => [
            end.number,
            end.task,
            end.run,
            end.kind,
            end.checkpoint,
          ]),
        },
      };
    }
    case 'refused':
      return {
        status: 409,
        body: {
          clock_ms: outcome.clock,
          reason: REFUSAL_REASONS[outcome.reason],
        },
      };
    default:
      return undefined;
  }
}
