/** Records that the operator and the targets write to the platform's store. */
import type {TargetInfo} from '@galenavalve/dispatch';

/** Returns the path prefix of the queue of a priority. */
export function getQueuePath(priority: number): string {
  return `/queue-${priority}/`;
}

/** API key of the soak test's caller. */
export const API_KEY = 'soak-key';

/** Host name of the queues. */
export const QUEUE_HOST = 'soak.example';

/** Returns a desired state with one queue for each priority, as JSON. */
export function createDesiredState(version: number, pool: string): string {
  return JSON.stringify({
    version,
    routes: [0, 1, 2].map(priority => ({
      name: `queue-${priority}`,
      host: QUEUE_HOST,
      path_prefix: getQueuePath(priority),
      service: pool,
      priority,
      max_attempts: 3,
      stretch: 3,
      target_latency_ms: 1000,
    })),
    tenants: [{name: 'w', api_keys: [API_KEY], guaranteed: {gpu: 16}}],
  });
}

/** Returns a target's registry entry as JSON. */
export function createRegistryEntry(info: TargetInfo): string {
  return JSON.stringify({
    service: info.pool,
    address: info.address,
    zone: info.domain,
    state: info.isDraining ? 'draining' : 'ready',
    born: info.born,
    labels: info.labels,
    capacity: {
      cpu: info.capacity.cpu,
      mem_mb: info.capacity.memoryMb,
      gpu: info.capacity.accelerators,
    },
  });
}
