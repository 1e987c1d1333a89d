/** An emulated installation in virtual time: log, targets, instances, and an auditor of the promises. */

// The installation
export {
  EmulatedCluster,
  type EmulatedClusterOptions,
  POOL,
  createQueue,
} from './emulated_cluster.js';
export {EmulatedInstance} from './emulated_instance.js';

// The platform
export {EmulatedLog, type LogFaults} from './emulated_log.js';
export {EmulatedFleet, type FleetFaults} from './emulated_fleet.js';
export {EmulatedTarget, type TaskBehavior} from './emulated_target.js';

// The promises
export {RunAuditor, type Violation} from './run_auditor.js';
