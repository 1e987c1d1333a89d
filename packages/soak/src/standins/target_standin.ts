/** One worker over HTTP, on an emulated target. */
import type {
  PollOutcome,
  CommandOutcome,
  TargetPort,
} from '@galenavalve/dispatch';
import {type Standin, type StandinResponse, serveHttp} from './http_standin.js';

/** Time after which a fault shows as silence, in milliseconds. */
const SILENCE = 1000;

const reasons = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
  room: 'room',
  ticket: 'ticket',
};

/** Serves the target of that id. */
export function serveTarget(port: TargetPort, id: string): Promise<Standin> {
  return serveHttp(async ({path, body}) => {
    const call = JSON.parse(body.toString('utf8'));
    const target = {id, address: id};
    switch (path) {
      case '/v1/run-start':
        return toReply(
          await port.start(
            target,
            {
              task: call.task,
              run: call.run,
              payload: call.spec,
              checkpoint: call.checkpoint ?? '',
              leaseUntil: call.until_ms,
              epoch: call.fence,
            },
            SILENCE,
          ),
        );
      case '/v1/run-stop': {
        const order = {task: call.task, run: call.run, epoch: call.fence};
        return toReply(await port.stop(target, order, SILENCE));
      }
      case '/v1/hold': {
        const order = {
          epoch: call.fence,
          leaseUntil: call.until_ms,
          acknowledgedEnd: call.ack_offset,
          wait: call.wait_ms ?? 0,
        };
        return toReply(await port.poll(target, order, SILENCE));
      }
      default:
        return {status: 404, body: {}};
    }
  });
}

function toReply(outcome: CommandOutcome | PollOutcome): StandinResponse {
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
        body: {clock_ms: outcome.clock, reason: reasons[outcome.reason]},
      };
    default:
      return undefined;
  }
}
