/** The subcommand that measures what one more of everything costs. */
import type {Command} from 'commander';
import {formatSlopes, runSlopes} from './run_slopes.js';

/** Registers `slopes`. */
export function registerSlopesCommand(program: Command): void {
  program
    .command('slopes')
    .description(
      'Measures the slopes that docs/CAPACITY.md is worked out from.',
    )
    .option('--json', 'print JSON')
    .action(async (options: {json?: boolean}) => {
      const report = await runSlopes();
      const text = options.json
        ? JSON.stringify(report, null, 2)
        : formatSlopes(report);
      process.stdout.write(`${text}\n`);
    });
}
