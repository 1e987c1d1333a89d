/** HTTP stand-in for targets: many modelled targets in one process. */
import type {Request, Response} from 'restify';
import {z} from 'zod';
import {REFUSED_STATUS, fenceOrder, throttleOrder} from '@galenavalve/platform';
import {type Clock, SystemClock, isFailure} from '@galenavalve/shared';
import {
  type RunEvent,
  TargetModel,
  renewal,
  reservation,
  startCommand,
  stopCommand,
} from '@galenavalve/targets';
import {
  type ListenAddress,
  type RunningServer,
  createHttpServer,
  listen,
} from '../http/http_server.js';
import {TargetControl, targetControlChange} from './target_control.js';

/** Number of latest run events (starts and ends of tasks) that `GET /control/runs` returns. */
const MAX_RUN_EVENTS = 100_000;

/** Id and capacity of one modelled target. */
export const targetDefinition = z.object({
  id: z.string().min(1).max(100),
  slots: z.int().positive(),
  accelerators: z.int().nonnegative(),
  processors: z.number().positive(),
  memoryMb: z.number().positive(),
});
/** Id and capacity of one modelled target. */
export type TargetDefinition = z.infer<typeof targetDefinition>;

/** Options of the target stand-in. */
export interface TargetServerOptions extends ListenAddress {
  targets: readonly TargetDefinition[];
  /** Clock of the models; the system clock by default. */
  clock?: Clock;
}

/** Handle of a running target stand-in. */
export interface RunningTargetServer extends RunningServer {
  /** Fault injection; has the same effect as `POST /control`. */
  control: TargetControl;
  /** Models by target id. */
  models: ReadonlyMap<string, TargetModel>;
}

/** Validates the body of one command and applies it to the model of a target. */
type CommandHandler = (
  model: TargetModel,
  body: unknown,
  now: number,
) => unknown;

const COMMAND_HANDLERS: Record<string, CommandHandler> = {
  reserve: (model, body, now) => model.reserve(reservation.parse(body), now),
  start: (model, body, now) => model.start(startCommand.parse(body), now),
  stop: (model, body, now) => ({
    report: model.stop(stopCommand.parse(body), now),
  }),
  renew: (model, body, now) => model.renew(renewal.parse(body), now),
  fence: (model, body, now) => model.fence(fenceOrder.parse(body), now),
  throttle: (model, body, now) =>
    model.throttle(throttleOrder.parse(body), now),
};

/** Starts the target stand-in. */
export async function startTargetServer(
  options: TargetServerOptions,
): Promise<RunningTargetServer> {
  const clock = options.clock ?? new SystemClock();
  const runs: RunEvent[] = [];
  const models = createModels(options.targets, event => {
    // Events carry the monotonic time of this process; readers in other processes need wall-clock time.
    const at = event.at + clock.wallTime() - clock.now();
    runs.push({...event, at});
    runs.splice(0, runs.length - MAX_RUN_EVENTS);
  });
  const control = new TargetControl(models, clock);
  const server = createHttpServer('targets');
  for (const [command, handler] of Object.entries(COMMAND_HANDLERS)) {
    server.post(`/targets/:id/v1/${command}`, async (request, response) =>
      serveCommand(request, response, control, handler),
    );
  }
  server.post('/control', async (request, response) => {
    const change = targetControlChange.safeParse(request.body);
    if (!change.success || !control.applyChange(change.data)) {
      response.send(400, {
        message: 'the target is unknown or a setting is invalid',
      });
      return;
    }
    response.send(200, {});
  });
  server.get('/control/runs', async (_request, response) => {
    response.send(200, {runs});
  });
  return {...(await listen(server, options)), control, models};
}

function createModels(
  targets: readonly TargetDefinition[],
  onRun: (event: RunEvent) => void,
): Map<string, TargetModel> {
  const models = new Map<string, TargetModel>();
  for (const {id, ...capacity} of targets) {
    models.set(id, new TargetModel({id, capacity, onRun}));
  }
  return models;
}

/**
 * Serves one command of a target, with the faults in force: a crashed target
 * closes the connection, a silent one never responds.
 */
async function serveCommand(
  request: Request,
  response: Response,
  control: TargetControl,
  handler: CommandHandler,
): Promise<void> {
  const id = String(request.params.id);
  const model = control.findModel(id);
  if (!model) {
    response.send(404, {message: 'unknown target'});
    return;
  }
  const {dead, silent, losesAnswers, delayMs} = control.getFaults(id);
  if (dead) {
    response.socket?.destroy();
    return;
  }
  if (silent) {
    return;
  }
  await control.clock.sleep(delayMs);
  const [status, body] = toResponse(
    () => handler(model, request.body, control.clock.now()) ?? {},
  );
  if (!losesAnswers) {
    response.send(status, body);
  }
}

/** Returns status and body of the response to a command. */
function toResponse(handle: () => unknown): [number, unknown] {
  try {
    return [200, handle()];
  } catch (error) {
    if (isFailure(error, 'target-refused')) {
      return [REFUSED_STATUS, {refused: error.details.problem}];
    }
    if (error instanceof z.ZodError) {
      return [400, {message: z.prettifyError(error)}];
    }
    throw error;
  }
}
