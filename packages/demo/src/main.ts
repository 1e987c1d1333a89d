/** Entry point of `npm run demo`: runs gangs in three failure domains while failures are injected. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {Command} from 'commander';
import {type Cluster, startCluster} from './cluster.js';
import {printReport, printLine} from './report.js';
import {runScenario} from './scenario.js';

const program = new Command('demo')
  .option('--keep', 'keep the cluster running and print commands to try', false)
  .option('--seed <number>', 'seed of the workload', Number, 1);
program.parse();
const options = program.opts<{keep: boolean; seed: number}>();

const dir = mkdtempSync(join(tmpdir(), 'galenavalve-demo-'));
printLine(
  `starting the stand-ins and six daemons; their output goes to ${dir}`,
);
let cluster: Cluster | undefined;
try {
  cluster = await startCluster(dir);
  const result = await runScenario(cluster, options.seed);
  process.exitCode = printReport(result) ? 0 : 1;
  if (options.keep) {
    await keepRunning(cluster);
  }
} catch (error) {
  console.error(error);
  process.exitCode = 1;
} finally {
  await cluster?.processes.stopAll();
}

/** Prints commands to try and waits for SIGINT or SIGTERM. */
async function keepRunning({entries}: Cluster): Promise<void> {
  const url = entries.map(entry => entry.url).join(',');
  printLine('The cluster runs until Ctrl-C. In another terminal, try:');
  for (const command of [
    'inventory',
    'workspaces',
    'list --limit 5',
    'drain za-2',
    'restore za-2',
  ]) {
    printLine(`  npx galenavalve --entry ${url} ${command}`);
  }
  await new Promise<void>(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}
