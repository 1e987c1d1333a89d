/** Small stand-ins for the platform: the log, the instance list and the targets. */

// Servers
export {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from './http/http_server.js';

// The log
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

// The list of instances
export {
  type InstanceChange,
  instanceChange,
  type InstanceServerOptions,
  type RunningInstanceServer,
  startInstanceServer,
} from './instances/instance_server.js';

// The targets
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

// The network
export {type FaultProxy, startFaultProxy} from './relay/fault_proxy.js';
