/** Routes for the balancer and for metrics. */
import type {Node} from '../node.js';
import type {Router} from './http_server.js';

/** Adds `/healthz`, `/readyz` and `/metrics`. */
export function addProbeRoutes(node: Node, router: Router): void {
  router.add('get', '/healthz', () => ({
    status: 200,
    body: {instance: node.settings.instance, stage: node.stage},
  }));
  router.add('get', '/readyz', () => {
    const isReady = node.stage === 'serving';
    return {
      status: isReady ? 200 : 503,
      body: {
        ready: isReady,
        stage: node.stage,
        offset: node.state.nextOffset,
        freshnessAgeMs: Math.round(node.freshness.ageAt(node.clock.now())),
      },
    };
  });
  router.add('get', '/metrics', async () => ({
    status: 200,
    body: await node.metrics.render(),
    contentType: node.metrics.registry.contentType,
  }));
}
