/** Routes for liveness and readiness probes and for metrics. */
import type {DaemonContext} from '../daemon_context.js';
import type {Router} from './http_server.js';

/** Adds `/healthz`, `/readyz` and `/metrics`. */
export function addProbeRoutes(context: DaemonContext, router: Router): void {
  router.add('get', '/healthz', () => ({
    status: 200,
    body: {instance: context.settings.instance, stage: context.stage},
  }));
  router.add('get', '/readyz', () => {
    const isReady = context.stage === 'serving';
    return {
      status: isReady ? 200 : 503,
      body: {
        ready: isReady,
        stage: context.stage,
        offset: context.state.nextOffset,
        freshnessAgeMs: Math.round(
          context.freshness.getAge(context.clock.now()),
        ),
      },
    };
  });
  router.add('get', '/metrics', async () => ({
    status: 200,
    body: await context.metrics.render(),
    contentType: context.metrics.registry.contentType,
  }));
}
