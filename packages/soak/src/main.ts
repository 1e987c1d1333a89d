/** `npm run soak -- --seed 7 --runs 3`: plays seeded runs and prints what each showed. */
import {Command} from 'commander';
import {runSoak} from './soak.js';

const program = new Command('soak')
  .option('--seed <number>', 'first seed', '1')
  .option('--runs <count>', 'number of seeds', '1')
  .option('--jobs <count>', 'jobs of a run', '40')
  .option('--pause <ms>', 'mean pause between faults', '1200');
program.parse();
const options =
  program.opts<Record<'seed' | 'runs' | 'jobs' | 'pause', string>>();

let failed = 0;
for (let index = 0; index < Number(options.runs); index++) {
  const report = await runSoak({
    seed: Number(options.seed) + index,
    jobs: Number(options.jobs),
    meanFaultIntervalMs: Number(options.pause),
  });
  const broken =
    report.violations.length +
    report.unfinished.length +
    report.falselyRejected.length;
  failed += broken > 0 ? 1 : 0;
  console.log(JSON.stringify(report));
}
console.log(`${Number(options.runs) - failed} passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
