/** Runs one command line from its arguments to its exit code. */
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

/** What surrounds the command line. */
export interface CommandLineOptions {
  environment: EnvironmentVariables;
  writeOut: Writer;
  writeError: Writer;
  clock?: Clock;
}

/** Runs a command line; `args` are the words after the name of the program. */
export async function runCommandLine(
  args: readonly string[],
  surroundings: CommandLineOptions,
): Promise<ExitCode> {
  const {writeOut, writeError} = surroundings;
  let exitCode: ExitCode = ExitCode.ok;
  const program = createProgram(options =>
    createRunner(options, surroundings, code => {
      exitCode = code;
    }),
  );
  catchExits(program, surroundings);
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
  options: GlobalOptions,
  surroundings: CommandLineOptions,
  onExit: (code: ExitCode) => void,
): Runner {
  const {environment, writeOut, writeError} = surroundings;
  const output = new Output(writeOut, writeError, options.json === true);
  return {
    async runOffline(
      command: (session: OfflineCommandContext) => Promise<ExitCode>,
    ) {
      onExit(await command({output}));
    },
    async run(command: (session: CommandContext) => Promise<ExitCode>) {
      const settings = loadSettings(options, environment);
      const clock = surroundings.clock ?? new SystemClock();
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
      output.printProgress(`asking again: ${entry}: ${problem}`),
  });
}

/** Makes commander throw where it would end the process. */
function catchExits(
  command: Command,
  {writeOut, writeError}: CommandLineOptions,
): void {
  command.exitOverride();
  command.configureOutput({writeOut, writeErr: writeError});
  command.commands.forEach(subcommand =>
    catchExits(subcommand, {environment: {}, writeOut, writeError}),
  );
}
