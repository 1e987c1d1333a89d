/** Fixtures of the gateway's specs. */
import type {Queue} from '@galenavalve/gateway';
import type {JobSpec} from '@galenavalve/workload';

/** Creates a queue of host `h` whose path prefix is its name. */
export function createQueue(name: string, isPublic = false): Queue {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    isPublic,
    terms: {pool: 'p', priority: 1, maxAttempts: 2, stretch: 2, latencyMs: 100},
  };
}

/** Creates a job of one step of `count` single tasks. */
export function createSpec(count = 1): JobSpec {
  return {
    payload: 'x',
    steps: [
      {
        count,
        demand: {cpu: 1, memoryMb: 1, accelerators: 0},
        estimateMs: 10,
        dependsOn: [],
        isGang: false,
        isRackSensitive: false,
        savesProgress: false,
        isLongRunning: false,
        usesIdleCpu: false,
        maxUnavailable: 0,
      },
    ],
  };
}
