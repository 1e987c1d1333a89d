/** The target stand-in over HTTP: many modelled targets in one process. */
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

/** Latest starts and ends of tasks that `GET /control/runs` tells. */
const MAX_RUNS = 100_000;

/** One target to stand in for. */
export const targetDefinition = z.object({
  id: z.string().min(1).max(100),
  slots: z.int().positive(),
  accelerators: z.int().nonnegative(),
  processors: z.number().positive(),
  memoryMb: z.number().positive(),
});
export type TargetDefinition = z.infer<typeof targetDefinition>;

/** Address and targets of the stand-in. */
export interface TargetServerOptions extends ListenAddress {
  targets: readonly TargetDefinition[];
  clock?: Clock;
}

/** A target stand-in that listens. */
export interface RunningTargetServer extends RunningServer {
  control: TargetControl;
  models: ReadonlyMap<string, TargetModel>;
}

/** What a model does with one order. */
type Handler = (model: TargetModel, body: unknown, now: number) => unknown;

const handlers: Record<string, Handler> = {
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
    // Run events carry the clock of the process; readers need wall-clock time.
    const at = event.at + clock.wallTime() - clock.now();
    runs.push({...event, at});
    runs.splice(0, runs.length - MAX_RUNS);
  });
  const control = new TargetControl(models, clock);
  const server = createHttpServer('targets');
  for (const [command, handler] of Object.entries(handlers)) {
    server.post(`/targets/:id/v1/${command}`, async (request, response) =>
      serve(request, response, control, handler),
    );
  }
  server.post('/control', async (request, response) => {
    const change = targetControlChange.safeParse(request.body);
    if (!change.success || !control.applyChange(change.data)) {
      response.send(400, {message: 'no such target or setting'});
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

async function serve(
  request: Request,
  response: Response,
  control: TargetControl,
  handler: Handler,
): Promise<void> {
  const id = String(request.params.id);
  const model = control.findModel(id);
  if (!model) {
    response.send(404, {message: 'there is no such target'});
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
  const [status, body] = apply(
    () => handler(model, request.body, control.clock.now()) ?? {},
  );
  if (!losesAnswers) {
    response.send(status, body);
  }
}

function apply(handle: () => unknown): [number, unknown] {
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
