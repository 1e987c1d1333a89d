/** `npm run soak -- --seed 7 --runs 3`: executes seeded soak runs and prints a JSON report of each. */
import {Command} from 'commander';
import {runSoak} from './soak.js';

const program = new Command('soak')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <count>', 'number of runs, with consecutive seeds', '1')
  .option('--jobs <count>', 'number of jobs of a run', '40')
  .option(
    '--pause <ms>',
    'mean interval between faults, in milliseconds',
    '1200',
  );
program.parse();
const options =
  program.opts<Record<'seed' | 'runs' | 'jobs' | 'pause', string>>();

let failedRuns = 0;
for (let index = 0; index < Number(options.runs); index++) {
  const report = await runSoak({
    seed: Number(options.seed) + index,
    jobs: Number(options.jobs),
    meanFaultIntervalMs: Number(options.pause),
  });
  const failureCount =
    report.violations.length +
    report.unfinished.length +
    report.falselyRejected.length;
  failedRuns += failureCount > 0 ? 1 : 0;
  console.log(JSON.stringify(report));
}
console.log(
  `${Number(options.runs) - failedRuns} passed, ${failedRuns} failed`,
);
process.exitCode = failedRuns > 0 ? 1 : 0;
