/** HTTP clients and protocols of the platform's log, instance list and targets. */

// Connections
export {ConnectionPool} from './http/connection_pool.js';
export {TrafficCounter, platformTraffic} from './http/traffic.js';
export {
  type JsonResponse,
  type JsonRequest,
  NoResponse,
  sendJson,
} from './http/json_client.js';

// Log
export {HttpLog, type HttpLogOptions} from './log/http_log.js';
export * from './log/log_protocol.js';

// Instance list
export {
  HttpInstanceList,
  type HttpInstanceListOptions,
} from './instances/http_instance_list.js';

// Targets
export {HttpTargetClient} from './targets/http_target_client.js';
export * from './targets/target_protocol.js';
