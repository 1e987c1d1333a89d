/** The command line of galenavalved. */
import {Command} from 'commander';
import {Failure} from '@galenavalve/shared';
import {SystemClock, describeError} from '@galenavalve/shared';
import {createContainer} from './container.js';
import {Daemon} from './daemon.js';
import {createJsonLogger} from './observability/json_logger.js';
import {loadSettings} from './settings/load_settings.js';
import type {Settings} from './settings/settings.js';

const EXIT_CODE_INVALID_SETTINGS = 2;
const EXIT_CODE_START_FAILED = 1;

/** Parses the arguments, reads the settings and runs the daemon until SIGTERM or SIGINT. */
export async function runCommandLine(argv: string[]): Promise<void> {
  const program = new Command('galenavalved')
    .description('The galenavalve daemon of one entry instance.')
    .argument('<settings>', 'settings file: JSON with comments')
    .option('--check', 'check the settings and exit', false)
    .action(async (file: string, options: {check: boolean}) => {
      const settings = readSettings(file);
      if (!settings) {
        return;
      }
      if (options.check) {
        console.log(`${file}: the settings are valid`);
        return;
      }
      await runDaemon(settings);
    });
  await program.parseAsync(argv);
}

function readSettings(file: string): Settings | undefined {
  try {
    return loadSettings(file);
  } catch (error) {
    const remedy = error instanceof Failure ? ` ${error.remedy}` : '';
    console.error(`${describeError(error)}${remedy}`);
    process.exitCode = EXIT_CODE_INVALID_SETTINGS;
    return undefined;
  }
}

async function runDaemon(settings: Settings): Promise<void> {
  const logger = createJsonLogger(
    settings.logLevel,
    settings.instance,
    settings.domain,
  );
  const container = createContainer(settings, new SystemClock(), logger);
  const daemon = container.get(Daemon);
  const stop = (signal: string) => {
    void daemon.stop(signal).then(() => {
      process.exitCode = 0;
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    await daemon.start();
  } catch (error) {
    logger.error('start-failed', {problem: describeError(error)});
    process.exitCode = EXIT_CODE_START_FAILED;
    await daemon.stop('failed start');
  }
}
