/** The demonstration: daemons in three failure domains, with the stand-ins. */
export {createConfiguration, DOMAINS, targetsOf} from './kestrelway.js';
export {ChildProcesses, type Child, type Launch} from './child_processes.js';
export {EntryApi, type Answer, type JobDraft} from './entry_api.js';
export {
  type Cluster,
  type ClusterOptions,
  type Entry,
  startCluster,
} from './cluster.js';
export {type RunEvent, readRuns} from './run_history.js';
export {
  type Evidence,
  type Outage,
  type Verdict,
  checkPromises,
} from './promises.js';
export {createJobs} from './workload.js';
