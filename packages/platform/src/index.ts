/** HTTP adapters for the log, the instance list and the targets of the platform. */

// Connections
export {ConnectionPool} from './http/connection_pool.js';
export {TrafficCounter, platformTraffic} from './http/traffic.js';
export {
  type JsonResponse,
  type JsonRequest,
  NoResponse,
  sendJson,
} from './http/json_client.js';

// The log
export {HttpLog, type HttpLogOptions} from './log/http_log.js';
export * from './log/log_protocol.js';

// The list of instances
export {
  HttpInstanceList,
  type HttpInstanceListOptions,
} from './instances/http_instance_list.js';

// The targets
export {HttpTargetClient} from './targets/http_target_client.js';
export * from './targets/target_protocol.js';
