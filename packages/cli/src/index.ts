/** Package of the command-line tool `galenavalve` and of the entry client for programs. */

// Entry client
export type {EntryClient, JobFilter} from './client/entry_client.js';
export {
  HttpEntryClient,
  type HttpEntryClientOptions,
} from './client/http_entry_client.js';
export type {RetryListener} from './client/entry_caller.js';
export {DEFAULT_RETRY_POLICY, type RetryPolicy} from './client/retry_policy.js';
export {followJob, type FollowOptions} from './commands/follow_job.js';

// Command line
export {runCommandLine, type CommandLineOptions} from './command_line.js';
export {ExitCode} from './exit_code.js';

// Configuration files
export {
  type DesiredConfiguration,
  type DesiredEntity,
  type Difference,
  findDifferences,
  readDesiredConfiguration,
} from './input/desired_configuration.js';
