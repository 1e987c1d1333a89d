/** The stand-in for the platform's list of instances, which lags behind. */
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

/** A change of the list: the body of `POST /control`. */
export const instanceChange = z.strictObject({
  /** Instances to add or to replace. */
  put: z.array(listedInstance).default([]),
  /** Ids of instances to remove. */
  remove: z.array(z.string()).default([]),
  /** New states by instance id. */
  states: z.record(z.string(), z.enum(['live', 'leaving'])).default({}),
  /** True to refuse every request for the list. */
  outage: z.boolean().optional(),
});
export type InstanceChange = z.input<typeof instanceChange>;

/** Address and content of the list. */
export interface InstanceServerOptions extends ListenAddress {
  instances: ListedInstance[];
  /** Changes show this late, in milliseconds. */
  lagMs?: Milliseconds;
  clock?: Clock;
}

/** A list of instances that listens. */
export interface RunningInstanceServer extends RunningServer {
  applyChange(change: InstanceChange): void;
}

/** Starts the stand-in. */
export async function startInstanceServer(
  options: InstanceServerOptions,
): Promise<RunningInstanceServer> {
  const clock = options.clock ?? new SystemClock();
  const list = new LaggingInstanceList(options.instances, options.lagMs ?? 0);
  let isOut = false;
  const change = (input: InstanceChange) => {
    const parsed = instanceChange.parse(input);
    isOut = parsed.outage ?? isOut;
    list.applyChange(parsed, clock.now());
  };
  const server = createHttpServer('instances');
  server.get('/v1/instances', async (_request: Request, response: Response) => {
    if (isOut) {
      response.send(503, {code: 'outage', message: 'the list has an outage'});
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
    change(body.data);
    response.send(200, {});
  });
  return {...(await listen(server, options)), applyChange: change};
}
