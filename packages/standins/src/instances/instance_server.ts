/** HTTP stand-in for the platform's instance list, which shows changes after a lag. */
import type {Request, Response} from 'restify';
import {z} from 'zod';
import {type ListedInstance, listedInstance} from '@galenavalve/membership';
import {type Clock, type Milliseconds, SystemClock} from '@galenavalve/shared';
import {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from '../http/http_server.js';
import {LaggingInstanceList} from './lagging_instance_list.js';

/** Change of the list; the body of `POST /control`. */
export const instanceChange = z.strictObject({
  /** Instances to add, or to replace by id. */
  put: z.array(listedInstance).default([]),
  /** Ids of instances to remove. */
  remove: z.array(z.string()).default([]),
  /** New states by instance id. */
  states: z.record(z.string(), z.enum(['live', 'leaving'])).default({}),
  /** True rejects every request for the list with status 503. */
  outage: z.boolean().optional(),
});
/** Change of the list before defaults are applied. */
export type InstanceChange = z.input<typeof instanceChange>;

/** Options of the instance list stand-in. */
export interface InstanceServerOptions extends ListenAddress {
  /** Initial content of the list. */
  instances: ListedInstance[];
  /** Delay until a change shows, in milliseconds; 0 by default. */
  lagMs?: Milliseconds;
  /** Clock that measures the lag; the system clock by default. */
  clock?: Clock;
}

/** Handle of a running instance list stand-in. */
export interface RunningInstanceServer extends RunningServer {
  /** Has the same effect as `POST /control`; throws a `ZodError` for an invalid change. */
  applyChange(change: InstanceChange): void;
}

/** Starts the instance list stand-in. */
export async function startInstanceServer(
  options: InstanceServerOptions,
): Promise<RunningInstanceServer> {
  const clock = options.clock ?? new SystemClock();
  const list = new LaggingInstanceList(options.instances, options.lagMs ?? 0);
  let hasOutage = false;
  const applyChange = (input: InstanceChange) => {
    const parsed = instanceChange.parse(input);
    hasOutage = parsed.outage ?? hasOutage;
    list.applyChange(parsed, clock.now());
  };
  const server = createHttpServer('instances');
  server.get('/v1/instances', async (_request: Request, response: Response) => {
    if (hasOutage) {
      response.send(503, {
        code: 'outage',
        message: 'the instance list has an outage',
      });
      return;
    }
    response.send(200, list.read(clock.now()));
  });
  server.post('/control', async (request: Request, response: Response) => {
    const body = instanceChange.safeParse(request.body);
    if (!body.success) {
      response.send(400, {message: z.prettifyError(body.error)});
      return;
    }
    applyChange(body.data);
    response.send(200, {});
  });
  return {...(await listen(server, options)), applyChange};
}
