/** The commands of `galenavalve` and their options. */
import {randomUUID} from 'node:crypto';
import {Command, InvalidArgumentError, Option} from 'commander';
import {jobPhase} from '@galenavalve/model';
import type {JobFilter} from './client/entry_client.js';
import {applyConfiguration} from './commands/apply_configuration.js';
import {approve} from './commands/approve.js';
import {cancel} from './commands/cancel.js';
import {drain, restore} from './commands/change_domain_state.js';
import {submit} from './commands/submit.js';
import type {ExitCode} from './exit_code.js';
import {readDesiredConfiguration} from './input/desired_configuration.js';
import {buildJobRequest, type JobOptions} from './input/job_input.js';
import type {GlobalOptions} from './input/settings.js';
import {checkConfiguration} from './queries/check_configuration.js';
import {showInventory, showWorkspaces} from './queries/read_cluster.js';
import {
  showChanges,
  showConfiguration,
  showDifferences,
} from './queries/read_configuration.js';
import {explainJob, listJobs, planJob, showJob} from './queries/read_jobs.js';
import {traceJob} from './queries/trace_job.js';
import type {OfflineCommandContext, CommandContext} from './command_context.js';

const DEFAULT_DRAIN_WAIT_SECONDS = 120;

/** Runs commands; each resolves to the exit code. */
export interface Runner {
  /** Runs with the entry instances of the settings. */
  run(command: (session: CommandContext) => Promise<ExitCode>): Promise<void>;
  /** Runs without any entry instance. */
  runOffline(
    command: (session: OfflineCommandContext) => Promise<ExitCode>,
  ): Promise<void>;
}

/** Creates the commander program. `runner` is made from the options of all commands. */
export function createProgram(
  createRunner: (options: GlobalOptions) => Runner,
): Command {
  const program = new Command('galenavalve')
    .description('Submits jobs to galenavalve, and operates it.')
    .option('--entry <urls>', 'entry instances, separated by commas')
    .option('--settings <file>', 'settings in JSON with comments')
    .option('--author <name>', 'name that stands in the history of changes')
    .addOption(
      new Option('--deadline <seconds>', 'give a call up after').argParser(
        parsePositive,
      ),
    )
    .option('--json', 'print JSON');
  const runner = () => createRunner(program.opts<GlobalOptions>());
  addJobCommands(program, runner);
  addClusterCommands(program, runner);
  addConfigurationCommands(program, runner);
  return program;
}

function addJobCommands(program: Command, runner: () => Runner): void {
  addJobOptions(program.command('submit [file]'))
    .description('submit a job; the file holds a request in JSON with comments')
    .option('--wait [seconds]', 'wait until the job has finished', parseSeconds)
    .action(
      async (file: string | undefined, options: JobOptions & WaitOption) =>
        runner().run(session => {
          const now = session.clock.wallTime();
          const request = buildJobRequest(file, options, now);
          return submit(session, request, waitOf(options, 0));
        }),
    );

  addJobOptions(program.command('plan [file]'))
    .description('tell what would happen to a job, without running it')
    .action(async (file: string | undefined, options: JobOptions) =>
      runner().run(session => {
        const now = session.clock.wallTime();
        return planJob(session, buildJobRequest(file, options, now));
      }),
    );

  program
    .command('status <job>')
    .description('print a job, by its id or its request id')
    .action(async (jobId: string) =>
      runner().run(session => showJob(session, jobId)),
    );

  program
    .command('explain <job>')
    .description('print why a job ran or did not run, by either id')
    .action(async (jobId: string) =>
      runner().run(session => explainJob(session, jobId)),
    );

  program
    .command('trace <job> <logs...>')
    .description(
      'print the log lines of a job in the order of time, such as: galenavalve trace 5c0e7a21d94b36f8 *.log',
    )
    .action(async (jobId: string, files: string[]) =>
      runner().runOffline(session => traceJob(session, jobId, files)),
    );

  program
    .command('list')
    .description('print jobs')
    .option('--workspace <id>', 'only of this workspace')
    .addOption(
      new Option('--phase <phase>', 'only in this phase').choices(
        jobPhase.options,
      ),
    )
    .option('--limit <count>', 'most jobs to print', parsePositive)
    .action(async (filter: JobFilter) =>
      runner().run(session => listJobs(session, filter)),
    );

  program
    .command('cancel <jobs...>')
    .description('cancel jobs')
    .action(async (jobIds: string[]) =>
      runner().run(session => cancel(session, jobIds)),
    );

  program
    .command('approve <job>')
    .description('let a job start that waits for approval')
    .action(async (jobId: string) =>
      runner().run(session => approve(session, jobId)),
    );
}

function addClusterCommands(program: Command, runner: () => Runner): void {
  program
    .command('workspaces')
    .description('print workspaces and their guarantees')
    .action(async () => runner().run(showWorkspaces));

  program
    .command('inventory')
    .description('print failure domains and targets')
    .option('--domain <id>', 'one failure domain with its targets')
    .option('--targets', 'with the targets of every failure domain', false)
    .action(async (options: {domain?: string; targets: boolean}) =>
      runner().run(session => showInventory(session, options)),
    );

  program
    .command('drain <domain>')
    .description('take a failure domain out of service')
    .option('--wait [seconds]', 'wait until nothing runs there', parseSeconds)
    .action(async (domain: string, options: WaitOption) =>
      runner().run(session =>
        drain(session, domain, waitOf(options, DEFAULT_DRAIN_WAIT_SECONDS)),
      ),
    );

  program
    .command('restore <domain>')
    .description('bring a failure domain back into service')
    .option('--wait [seconds]', 'wait until it is scheduled', parseSeconds)
    .action(async (domain: string, options: WaitOption) =>
      runner().run(session =>
        restore(session, domain, waitOf(options, DEFAULT_DRAIN_WAIT_SECONDS)),
      ),
    );
}

function addConfigurationCommands(
  program: Command,
  runner: () => Runner,
): void {
  program
    .command('check <file>')
    .description('check a configuration file without any entry instance')
    .action(async (file: string) =>
      runner().runOffline(session => checkConfiguration(session, file)),
    );

  const config = program
    .command('config')
    .description('read and change the cluster configuration');

  config
    .command('show')
    .description('print the configuration in force as a file for "apply"')
    .action(async () => runner().run(showConfiguration));

  addPruneOption(config.command('diff <file>'))
    .description('print what "apply" would change')
    .action(async (file: string, {prune}: {prune: boolean}) =>
      runner().run(session =>
        showDifferences(session, readDesiredConfiguration(file), prune),
      ),
    );

  addPruneOption(config.command('apply <file>'))
    .description('change the configuration to what the file lists')
    .option('--change-id <id>', 'idempotency key of the change')
    .action(
      async (file: string, options: {prune: boolean; changeId?: string}) =>
        runner().run(session =>
          applyConfiguration(session, readDesiredConfiguration(file), {
            prune: options.prune,
            changeId: options.changeId ?? randomUUID(),
          }),
        ),
    );

  config
    .command('history')
    .description('print the latest changes')
    .action(async () => runner().run(showChanges));
}

function addPruneOption(command: Command): Command {
  return command.option('--prune', 'remove what the file does not list', false);
}

function addJobOptions(command: Command): Command {
  return command
    .option('--workspace <id>', 'workspace of the job')
    .option('--tasks <count>', 'tasks of the gang', parsePositive)
    .option('--accelerators <count>', 'of each task', parseAmount)
    .option('--processors <count>', 'of each task', parseAmount)
    .option('--memory-mb <mebibytes>', 'of each task', parseAmount)
    .option('--adjacency <level>', 'all tasks in one target, rack or domain')
    .option('--expected-seconds <seconds>', 'expected run time', parsePositive)
    .option('--not-repeatable', 'start the job at most once')
    .option('--urgent', 'start before others of its class')
    .option('--checkpointable', 'the tasks can save their progress')
    .option('--kind <name>', 'jobs of a kind have similar run times')
    .option('--payload <json>', 'handed to every task')
    .option('--request-id <id>', 'idempotency key, to ask again')
    .option('--created-at <milliseconds>', 'to ask again', parsePositive);
}

interface WaitOption {
  /** Seconds; true when no number is given. */
  wait?: number | true;
}

function waitOf({wait}: WaitOption, defaultSeconds: number): number {
  if (wait === true) {
    return Infinity;
  }
  return (wait ?? defaultSeconds) * 1000;
}

function parseAmount(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError('It has to be a number, 0 or more.');
  }
  return value;
}

function parseSeconds(text: string): number {
  return parseAmount(text);
}

function parsePositive(text: string): number {
  const value = parseAmount(text);
  if (value === 0) {
    throw new InvalidArgumentError('It has to be more than 0.');
  }
  return value;
}
