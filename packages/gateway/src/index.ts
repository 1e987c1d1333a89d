/** What callers are told: accept, cancel, state and backlog. */
export {type Admission, type Approach, admit} from './admission.js';
export {
  type DesiredState,
  DesiredStateBook,
  type Queue,
  type Workspace,
} from './desired_state.js';
export type {AppendOutcome, JobAppender} from './job_appender.js';
export {
  type Answer,
  type Call,
  Gateway,
  type GatewayParts,
  LOG_SILENCE,
} from './gateway.js';
