/**
 * Stand-ins for the platform's services (log, instance list and targets) with
 * fault injection, for tests and the demonstration.
 */

// Servers
export {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from './http/http_server.js';

// Log
export {
  applyLogControl,
  type LogControl,
  logControl,
} from './log/log_control.js';
export {
  type LogServerOptions,
  type RunningLogServer,
  startLogServer,
} from './log/log_server.js';

// Instance list
export {
  type InstanceChange,
  instanceChange,
  type InstanceServerOptions,
  type RunningInstanceServer,
  startInstanceServer,
} from './instances/instance_server.js';

// Targets
export {
  TargetControl,
  type TargetControlChange,
  targetControlChange,
} from './targets/target_control.js';
export {
  type RunningTargetServer,
  type TargetDefinition,
  targetDefinition,
  type TargetServerOptions,
  startTargetServer,
} from './targets/target_server.js';

// Network
export {type FaultProxy, startFaultProxy} from './relay/fault_proxy.js';
