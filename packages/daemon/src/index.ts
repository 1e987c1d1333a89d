/** galenavalved: the entry, scheduler and lease renewer roles in one program. */

// The daemon
export {Daemon, type DaemonDependencies} from './daemon.js';
export type {DaemonContext, Stage} from './daemon_context.js';

// Commands
export {submitJob} from './commands/submit_job.js';
export {cancelJob} from './commands/job_commands.js';

// Decisions of roles
export {BacklogEstimator} from './backlog_estimator.js';
export {chooseMove} from './roles/queue_moves.js';

// Dependency injection
export {createContainer} from './container.js';
export {tokens} from './tokens.js';
export {createJsonLogger} from './observability/json_logger.js';

// Settings
export {type Settings, settings} from './settings/settings.js';
export {loadSettings, parseSettings} from './settings/load_settings.js';
