/** Explores many seeds and prints what broke. */
import {Command} from 'commander';
import {explore} from './exploration.js';

const program = new Command('test:faults')
  .description('explores faults, each run by a seed')
  .option('--runs <count>', 'number of runs', Number, 20)
  .option('--seed <number>', 'seed of the first run', Number, 1)
  .option('--story', 'prints what happened in each broken run', false)
  .parse();

const {runs, seed, story} = program.opts<{
  runs: number;
  seed: number;
  story: boolean;
}>();
let broken = 0;
for (let run = seed; run < seed + runs; run++) {
  const finding = await explore(run);
  if (finding.violations.length === 0) {
    continue;
  }
  broken++;
  for (const {promise, detail} of finding.violations.slice(0, 3)) {
    console.log(`seed ${run}: ${promise}: ${detail}`);
  }
  if (story) {
    console.log(finding.trace.map(line => `    ${line}`).join('\n'));
  }
}
console.log(`${runs - broken} runs kept every promise, ${broken} did not`);
process.exitCode = broken > 0 ? 1 : 0;
