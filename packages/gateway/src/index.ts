/** Serves callers' requests: submit and cancel jobs, and query their state and the number of queued jobs. */
export {type Admission, type AdmissionRequest, admit} from './admission.js';
export {
  type DesiredState,
  DesiredStateStore,
  type Queue,
  type Workspace,
} from './desired_state.js';
export type {LeaderPort} from './leader_port.js';
export type {AppendOutcome, RecordAppender} from './record_appender.js';
export {
  type GatewayResponse,
  type GatewayRequest,
  Gateway,
  type GatewayDependencies,
  LOG_TIMEOUT_MS,
} from './gateway.js';
