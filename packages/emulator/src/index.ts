/** An emulated cluster in virtual time: log, targets, instances, and an auditor that checks the guarantees about runs. */

// Cluster
export {
  EmulatedCluster,
  type EmulatedClusterOptions,
  POOL,
  createQueue,
} from './emulated_cluster.js';
export {EmulatedInstance} from './emulated_instance.js';

// Log and targets
export {EmulatedLog, type LogFaults} from './emulated_log.js';
export {
  EmulatedFleet,
  type FleetFaults,
  type RunObserver,
} from './emulated_fleet.js';
export {
  type EmulatedRun,
  EmulatedTarget,
  type TaskBehavior,
} from './emulated_target.js';

// Invariant checks
export {
  type ClusterView,
  type ObservedJob,
  type ObservedTarget,
} from './cluster_view.js';
export {IdleJobCheck} from './idle_job_check.js';
export {auditEnd} from './end_audit.js';
export {RunAuditor, type Violation} from './run_auditor.js';
