/** Parses a command line, runs its command and returns the exit code. */
import {CommanderError, type Command} from 'commander';
import {type Clock, SystemClock} from '@galenavalve/shared';
import {HttpEntryClient} from './client/http_entry_client.js';
import {ExitCode, getExitCode} from './exit_code.js';
import {
  type EnvironmentVariables,
  type GlobalOptions,
  loadSettings,
  type Settings,
} from './input/settings.js';
import {Output, type Writer} from './output/output.js';
import {createProgram, type Runner} from './program.js';
import type {OfflineCommandContext, CommandContext} from './command_context.js';

/** Environment, output streams and clock of a command line. */
export interface CommandLineOptions {
  environment: EnvironmentVariables;
  /** Writes to stdout. */
  writeOut: Writer;
  /** Writes to stderr. */
  writeError: Writer;
  /** The system clock by default. */
  clock?: Clock;
}

/**
 * Runs a command line. `args` are the arguments after the program name.
 * Errors of the command are printed and mapped to the exit code.
 */
export async function runCommandLine(
  args: readonly string[],
  options: CommandLineOptions,
): Promise<ExitCode> {
  const {writeOut, writeError} = options;
  let exitCode: ExitCode = ExitCode.ok;
  const program = createProgram(globalOptions =>
    createRunner(globalOptions, options, code => {
      exitCode = code;
    }),
  );
  disableProcessExit(program, options);
  try {
    await program.parseAsync(args, {from: 'user'});
    return exitCode;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? ExitCode.ok : ExitCode.usage;
    }
    const {json} = program.opts<GlobalOptions>();
    new Output(writeOut, writeError, json === true).printError(error);
    return getExitCode(error);
  }
}

function createRunner(
  globalOptions: GlobalOptions,
  options: CommandLineOptions,
  onExit: (code: ExitCode) => void,
): Runner {
  const {environment, writeOut, writeError} = options;
  const output = new Output(writeOut, writeError, globalOptions.json === true);
  return {
    async runOffline(
      command: (context: OfflineCommandContext) => Promise<ExitCode>,
    ) {
      onExit(await command({output}));
    },
    async run(command: (context: CommandContext) => Promise<ExitCode>) {
      const settings = loadSettings(globalOptions, environment);
      const clock = options.clock ?? new SystemClock();
      const client = createClient(settings, clock, output);
      try {
        onExit(await command({client, settings, output, clock}));
      } finally {
        client.close();
      }
    },
  };
}

function createClient(
  {entries, deadlineSeconds}: Settings,
  clock: Clock,
  output: Output,
): HttpEntryClient {
  return new HttpEntryClient({
    entries,
    clock,
    policy: {callTimeoutMs: deadlineSeconds * 1000},
    onRetry: (entry, problem) =>
      output.printProgress(`retrying: ${entry}: ${problem}`),
  });
}

/** Makes commander throw a `CommanderError` instead of ending the process. */
function disableProcessExit(
  command: Command,
  {writeOut, writeError}: CommandLineOptions,
): void {
  command.exitOverride();
  command.configureOutput({writeOut, writeErr: writeError});
  command.commands.forEach(subcommand =>
    disableProcessExit(subcommand, {environment: {}, writeOut, writeError}),
  );
}
