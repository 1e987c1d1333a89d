/** Command line: explores consecutive seeds and prints the violations that it found. */
import {Command} from 'commander';
import {explore} from './exploration.js';

const program = new Command('test:faults')
  .description('explores random faults; each run has its own seed')
  .option('--runs <count>', 'number of runs', Number, 20)
  .option('--seed <number>', 'seed of the first run', Number, 1)
  .option('--story', 'prints the incidents of each failed run', false)
  .parse();

const {
  runs,
  seed,
  story: printsTrace,
} = program.opts<{
  runs: number;
  seed: number;
  story: boolean;
}>();
let failedRuns = 0;
for (let run = seed; run < seed + runs; run++) {
  const result = await explore(run);
  if (result.violations.length === 0) {
    continue;
  }
  failedRuns++;
  for (const {promise, detail} of result.violations.slice(0, 3)) {
    console.log(`seed ${run}: ${promise}: ${detail}`);
  }
  if (printsTrace) {
    console.log(result.trace.map(line => `    ${line}`).join('\n'));
  }
}
console.log(
  `${runs - failedRuns} runs kept every promise, ${failedRuns} did not`,
);
process.exitCode = failedRuns > 0 ? 1 : 0;
