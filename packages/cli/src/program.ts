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
import {
  LOSS_GROUPINGS,
  type LossGrouping,
  showLosses,
} from './queries/show_losses.js';
import {traceJob} from './queries/trace_job.js';
import type {OfflineCommandContext, CommandContext} from './command_context.js';

/** Default wait of `drain` and `restore`. */
const DEFAULT_DRAIN_WAIT_SECONDS = 120;

/** Runs commands and passes on their exit codes. */
export interface Runner {
  /** Runs a command that calls the entry instances of the settings. */
  run(command: (context: CommandContext) => Promise<ExitCode>): Promise<void>;
  /** Runs a command that calls no entry instance. */
  runOffline(
    command: (context: OfflineCommandContext) => Promise<ExitCode>,
  ): Promise<void>;
}

/** Creates the commander program. `createRunner` gets the options that all commands share. */
export function createProgram(
  createRunner: (options: GlobalOptions) => Runner,
): Command {
  const program = new Command('galenavalve')
    .description('Submits jobs to galenavalve and operates a cluster.')
    .option(
      '--entry <urls>',
      'base URLs of entry instances, separated by commas',
    )
    .option('--settings <file>', 'settings file, in JSON with comments')
    .option('--author <name>', 'author to record in the change history')
    .addOption(
      new Option('--deadline <seconds>', 'timeout of a call').argParser(
        parsePositive,
      ),
    )
    .option('--json', 'print results as JSON');
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
        runner().run(context => {
          const now = context.clock.wallTime();
          const request = buildJobRequest(file, options, now);
          return submit(context, request, getWaitMs(options, 0));
        }),
    );

  addJobOptions(program.command('plan [file]'))
    .description('dry run: print what would happen to a job')
    .action(async (file: string | undefined, options: JobOptions) =>
      runner().run(context => {
        const now = context.clock.wallTime();
        return planJob(context, buildJobRequest(file, options, now));
      }),
    );

  program
    .command('status <job>')
    .description('print a job, by job id or request id')
    .action(async (jobId: string) =>
      runner().run(context => showJob(context, jobId)),
    );

  program
    .command('explain <job>')
    .description('print why a job ran or did not run, by job id or request id')
    .action(async (jobId: string) =>
      runner().run(context => explainJob(context, jobId)),
    );

  program
    .command('trace <job> <logs...>')
    .description(
      'print the log lines of a job in chronological order, for example: galenavalve trace 5c0e7a21d94b36f8 *.log',
    )
    .action(async (jobId: string, files: string[]) =>
      runner().runOffline(context => traceJob(context, jobId, files)),
    );

  program
    .command('losses <logs...>')
    .description(
      'print which jobs were refused, failed or late, and why, from the logs of all instances',
    )
    .addOption(
      new Option('--by <group>', 'sum by this as well').choices(LOSS_GROUPINGS),
    )
    .action(async (files: string[], {by}: {by?: LossGrouping}) =>
      runner().runOffline(context => showLosses(context, files, by)),
    );

  program
    .command('list')
    .description('print jobs')
    .option('--workspace <id>', 'only jobs of this workspace')
    .addOption(
      new Option('--phase <phase>', 'only jobs in this phase').choices(
        jobPhase.options,
      ),
    )
    .option('--limit <count>', 'maximum number of jobs to print', parsePositive)
    .action(async (filter: JobFilter) =>
      runner().run(context => listJobs(context, filter)),
    );

  program
    .command('cancel <jobs...>')
    .description('cancel jobs')
    .action(async (jobIds: string[]) =>
      runner().run(context => cancel(context, jobIds)),
    );

  program
    .command('approve <job>')
    .description('approve a job that waits for approval')
    .action(async (jobId: string) =>
      runner().run(context => approve(context, jobId)),
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
    .option('--domain <id>', 'print only this failure domain, with its targets')
    .option('--targets', 'print the targets of every failure domain', false)
    .action(async (options: {domain?: string; targets: boolean}) =>
      runner().run(context => showInventory(context, options)),
    );

  program
    .command('drain <domain>')
    .description('take a failure domain out of service')
    .option('--wait [seconds]', 'wait until nothing runs there', parseSeconds)
    .action(async (domain: string, options: WaitOption) =>
      runner().run(context =>
        drain(context, domain, getWaitMs(options, DEFAULT_DRAIN_WAIT_SECONDS)),
      ),
    );

  program
    .command('restore <domain>')
    .description('bring a failure domain back into service')
    .option(
      '--wait [seconds]',
      'wait until the domain has a scheduler',
      parseSeconds,
    )
    .action(async (domain: string, options: WaitOption) =>
      runner().run(context =>
        restore(
          context,
          domain,
          getWaitMs(options, DEFAULT_DRAIN_WAIT_SECONDS),
        ),
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
      runner().runOffline(context => checkConfiguration(context, file)),
    );

  const config = program
    .command('config')
    .description('read and change the cluster configuration');

  config
    .command('show')
    .description('print the current configuration as a file for "apply"')
    .action(async () => runner().run(showConfiguration));

  addPruneOption(config.command('diff <file>'))
    .description('print what "apply" would change')
    .action(async (file: string, {prune}: {prune: boolean}) =>
      runner().run(context =>
        showDifferences(context, readDesiredConfiguration(file), prune),
      ),
    );

  addPruneOption(config.command('apply <file>'))
    .description('change the configuration to match the file')
    .option('--change-id <id>', 'idempotency key of the change')
    .action(
      async (file: string, options: {prune: boolean; changeId?: string}) =>
        runner().run(context =>
          applyConfiguration(context, readDesiredConfiguration(file), {
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
  return command.option(
    '--prune',
    'remove entities that the file does not list',
    false,
  );
}

function addJobOptions(command: Command): Command {
  return command
    .option('--workspace <id>', 'workspace of the job')
    .option('--tasks <count>', 'number of tasks of the gang', parsePositive)
    .option('--accelerators <count>', 'accelerators per task', parseNonNegative)
    .option('--processors <count>', 'processors per task', parseNonNegative)
    .option('--memory-mb <mebibytes>', 'memory per task', parseNonNegative)
    .option(
      '--adjacency <level>',
      'place all tasks in one target, rack or domain',
    )
    .option('--expected-seconds <seconds>', 'expected run time', parsePositive)
    .option('--not-repeatable', 'start the job at most once')
    .option('--urgent', 'start before other jobs of its class')
    .option('--checkpointable', 'the tasks can save their progress')
    .option(
      '--kind <name>',
      'kind of job; jobs of a kind have similar run times',
    )
    .option('--payload <json>', 'payload passed to every task')
    .option(
      '--request-id <id>',
      'idempotency key; pass the same key to retry a request',
    )
    .option(
      '--created-at <milliseconds>',
      'creation time of the request that is retried, since the Unix epoch',
      parsePositive,
    );
}

/** The option `--wait`. */
interface WaitOption {
  /** Seconds; true, for no limit, when no number is given. */
  wait?: number | true;
}

function getWaitMs({wait}: WaitOption, defaultSeconds: number): number {
  if (wait === true) {
    return Infinity;
  }
  return (wait ?? defaultSeconds) * 1000;
}

function parseNonNegative(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new InvalidArgumentError('It must be a number, 0 or more.');
  }
  return value;
}

function parseSeconds(text: string): number {
  return parseNonNegative(text);
}

function parsePositive(text: string): number {
  const value = parseNonNegative(text);
  if (value === 0) {
    throw new InvalidArgumentError('It must be greater than 0.');
  }
  return value;
}
