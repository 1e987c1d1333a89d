/** Small stand-ins for the platform: the log, the instance list and the targets. */

// Servers
export {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from './http/http_server.js';

// The log
export {controlLog, type LogControl, logControl} from './log/log_control.js';
export {
  type LogServerOptions,
  type RunningLog,
  startLogServer,
} from './log/log_server.js';

// The list of instances
export {
  type InstanceChange,
  instanceChange,
  type InstanceServerOptions,
  type RunningInstanceList,
  startInstanceServer,
} from './instances/instance_server.js';

// The targets
export {
  TargetControl,
  type TargetControlChange,
  targetControl,
} from './targets/target_control.js';
export {
  type RunningTargets,
  type TargetDefinition,
  targetDefinition,
  type TargetServerOptions,
  startTargetServer,
} from './targets/target_server.js';

// The network
export {type TcpRelay, startTcpRelay} from './relay/tcp_relay.js';
