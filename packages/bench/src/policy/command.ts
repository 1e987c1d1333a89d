/** Implements `bench policy`: completion time, fragmentation, goodput and guarantee violations of each policy. */
import {
  FirstFitPolicy,
  GuaranteePolicy,
  type Policy,
  QuotaPolicy,
} from '@galenavalve/placement';
import type {Command} from 'commander';
import {DEPLOYMENTS} from './deployment.js';
import {computeLowerBound} from './lower_bound.js';
import type {RunFigures} from './run_figures.js';
import {PolicyRun} from './policy_run.js';
import {formatReport} from './report.js';
import {type ScenarioName, createScenario, SCENARIO_NAMES} from './scenario.js';

interface PolicyOptions {
  json?: boolean;
  seeds: string;
  deployment?: string;
  scenario?: string;
  policy?: string;
}

const POLICIES: readonly Policy[] = [
  new FirstFitPolicy(),
  new QuotaPolicy(),
  new GuaranteePolicy(),
];

/** Registers the command `policy`. */
export function registerPolicyCommand(program: Command): void {
  program
    .command('policy')
    .description('compares policies on the same seeded workload streams')
    .option('--json', 'prints JSON')
    .option('--seeds <count>', 'number of seeds', '3')
    .option('--deployment <name>', 'only this deployment')
    .option('--scenario <name>', 'only this scenario')
    .option('--policy <name>', 'only this policy')
    .action((options: PolicyOptions) => {
      const runs = runPolicies(options);
      const text = options.json
        ? JSON.stringify({runs}, null, 2)
        : formatReport(runs);
      console.log(text);
    });
}

/** Runs every policy on every workload stream that the options select. */
export function runPolicies(options: PolicyOptions): RunFigures[] {
  const runs: RunFigures[] = [];
  for (const deployment of DEPLOYMENTS.filter(
    matchesName(options.deployment),
  )) {
    for (const scenario of SCENARIO_NAMES) {
      if (options.scenario && options.scenario !== scenario) {
        continue;
      }
      for (let seed = 1; seed <= Number(options.seeds); seed++) {
        runs.push(...runSeed(deployment, scenario, seed, options));
      }
    }
  }
  return runs;
}

function runSeed(
  deployment: (typeof DEPLOYMENTS)[number],
  name: ScenarioName,
  seed: number,
  options: PolicyOptions,
): RunFigures[] {
  const scenario = createScenario(deployment, name, seed);
  const {serviceMean, relaxedMean} = computeLowerBound(scenario.jobs);
  const bound = Math.max(serviceMean, relaxedMean);
  return POLICIES.filter(matchesName(options.policy)).map(policy =>
    new PolicyRun(policy, deployment, scenario).run(seed, bound),
  );
}

function matchesName(
  name: string | undefined,
): (item: {readonly name: string}) => boolean {
  return item => !name || item.name === name;
}
