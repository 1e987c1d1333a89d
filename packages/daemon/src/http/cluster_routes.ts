/** Routes for the inventory, the workspaces and the configuration. */
import {z} from 'zod';
import {
  applyConfiguration,
  setDomainState,
} from '../commands/apply_configuration.js';
import type {DaemonContext} from '../daemon_context.js';
import {viewConfiguration, viewHistory} from '../queries/config_queries.js';
import {viewInventory, viewWorkspaces} from '../queries/cluster_queries.js';
import type {Router} from './http_server.js';
import {parseBody} from './parse_body.js';

const authorBody = z.strictObject({author: z.string().min(1).max(128)});
const historyQuery = z.object({
  limit: z.coerce.number().int().min(1).max(1000).default(50),
});

/** Adds the routes for operators. */
export function addClusterRoutes(context: DaemonContext, router: Router): void {
  router.add('get', '/v1/workspaces', () => ({
    status: 200,
    body: {workspaces: viewWorkspaces(context)},
  }));
  router.add('get', '/v1/inventory', () => ({
    status: 200,
    body: viewInventory(context),
  }));
  router.add('get', '/v1/config', () => ({
    status: 200,
    body: viewConfiguration(context),
  }));
  router.add('get', '/v1/config/history', request => {
    const {limit} = parseBody(historyQuery, request.query);
    return {status: 200, body: viewHistory(context, limit)};
  });
  router.add('post', '/v1/config', async request => ({
    status: 200,
    body: await applyConfiguration(context, request.body),
  }));
  for (const [verb, state] of [
    ['drain', 'out'],
    ['restore', 'in-service'],
  ] as const) {
    router.add('post', `/v1/domains/:id/${verb}`, async request => {
      const {author} = parseBody(authorBody, request.body);
      const {id} = request.params as {id: string};
      const result = await setDomainState(context, id, state, author);
      return {status: 200, body: result};
    });
  }
}
