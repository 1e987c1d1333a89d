/** Runs one command line from its arguments to its exit code. */
import {CommanderError, type Command} from 'commander';
import {type Clock, SystemClock} from '@galenavalve/shared';
import {HttpEntryClient} from './client/http_entry_client.js';
import {ExitCode, exitCodeOf} from './exit_code.js';
import {
  type Environment,
  type GlobalOptions,
  loadSettings,
  type Settings,
} from './input/settings.js';
import {Output, type Writer} from './output/output.js';
import {createProgram, type Runner} from './program.js';
import type {OfflineSession, Session} from './session.js';

/** What surrounds the command line. */
export interface Surroundings {
  environment: Environment;
  writeOut: Writer;
  writeError: Writer;
  clock?: Clock;
}

/** Runs a command line; `args` are the words after the name of the program. */
export async function runCommandLine(
  args: readonly string[],
  surroundings: Surroundings,
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
    return exitCodeOf(error);
  }
}

function createRunner(
  options: GlobalOptions,
  surroundings: Surroundings,
  onExit: (code: ExitCode) => void,
): Runner {
  const {environment, writeOut, writeError} = surroundings;
  const output = new Output(writeOut, writeError, options.json === true);
  return {
    async runOffline(command: (session: OfflineSession) => Promise<ExitCode>) {
      onExit(await command({output}));
    },
    async run(command: (session: Session) => Promise<ExitCode>) {
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
    policy: {deadline: deadlineSeconds * 1000},
    onRetry: (entry, problem) =>
      output.printProgress(`asking again: ${entry}: ${problem}`),
  });
}

/** Makes commander throw where it would end the process. */
function catchExits(
  command: Command,
  {writeOut, writeError}: Surroundings,
): void {
  command.exitOverride();
  command.configureOutput({writeOut, writeErr: writeError});
  command.commands.forEach(subcommand =>
    catchExits(subcommand, {environment: {}, writeOut, writeError}),
  );
}
