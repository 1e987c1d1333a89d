/** Demonstration: daemons in three failure domains, with stand-ins for the platform. */
export {createConfiguration, DOMAINS, listTargets} from './deployment.js';
export {
  ChildProcesses,
  type Child,
  type LaunchOptions,
} from './child_processes.js';
export {EntryApi, type ApiResponse, type JobDraft} from './entry_api.js';
export {
  type Cluster,
  type ClusterOptions,
  type EntryInstance,
  startCluster,
} from './cluster.js';
export {type RunEvent, readRuns} from './run_history.js';
export {
  type PromiseCheckInput,
  type OutOfServicePeriod,
  type PromiseResult,
  checkPromises,
} from './promises.js';
export {createJobs} from './workload.js';
