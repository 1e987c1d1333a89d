/** Implements `bench slopes`: the cost of each additional job, target, workspace, lease, record or peer. */
import type {Command} from 'commander';
import {formatSlopes, runSlopes} from './run_slopes.js';

/** Registers the command `slopes`. */
export function registerSlopesCommand(program: Command): void {
  program
    .command('slopes')
    .description('measures the slopes from which docs/CAPACITY.md is computed')
    .option('--json', 'print JSON')
    .action(async (options: {json?: boolean}) => {
      const report = await runSlopes();
      const text = options.json
        ? JSON.stringify(report, null, 2)
        : formatSlopes(report);
      process.stdout.write(`${text}\n`);
    });
}
