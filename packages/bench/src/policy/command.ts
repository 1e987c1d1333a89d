/** Implements `bench policy`: payoff of each policy on seeded streams of jobs, in virtual time. */
import {type SchedulingPolicy, SlackPolicy} from '@galenavalve/dispatch';
import {type Command, InvalidArgumentError} from 'commander';
import {FirstFitPolicy, StrictPriorityPolicy} from './baseline_policies.js';
import {createJobStream} from './job_stream.js';
import {computeCeiling, computePayoff} from './payoff.js';
import {type StreamFigures, averageFigures, formatReport} from './report.js';
import {PATTERNS, type StreamPattern} from './stream_pattern.js';
import {playStream} from './stream_run.js';
import {PROFILES, type WorkloadProfile} from './workload_profile.js';

interface PolicyOptions {
  json?: boolean;
  seeds: number;
  firstSeed: number;
  profile?: string;
  pattern?: string[];
  policy?: string;
}

const POLICIES: readonly SchedulingPolicy[] = [
  new SlackPolicy(),
  new FirstFitPolicy(),
  new StrictPriorityPolicy(),
];

/** Registers the command `policy`. */
export function registerPolicyCommand(program: Command): void {
  program
    .command('policy')
    .description('values policies on seeded streams of jobs and faults')
    .option('--json', 'prints the figures of each stream as JSON')
    .option('--seeds <count>', 'number of seeds', parseCount, 3)
    .option('--first-seed <seed>', 'first seed', parseCount, 1)
    .option('--profile <name>', 'only this profile')
    .option('--pattern <names...>', 'only these patterns')
    .option('--policy <name>', 'only this policy')
    .action(async (options: PolicyOptions) => {
      const figures = await playStreams(options);
      const text = options.json
        ? JSON.stringify({figures}, null, 2)
        : formatReport(averageFigures(figures));
      console.log(text);
    });
}

/** Plays every stream that the options select under every policy. */
async function playStreams(options: PolicyOptions): Promise<StreamFigures[]> {
  const figures: StreamFigures[] = [];
  const patterns = PATTERNS.filter(
    ({name}) => !options.pattern || options.pattern.includes(name),
  );
  for (const profile of PROFILES.filter(matchesName(options.profile))) {
    for (const pattern of patterns) {
      for (let index = 0; index < options.seeds; index++) {
        const seed = options.firstSeed + index;
        for (const policy of POLICIES.filter(matchesName(options.policy))) {
          figures.push(await valueStream(profile, pattern, policy, seed));
        }
      }
    }
  }
  return figures;
}

/** Plays one stream under one policy and values it. */
export async function valueStream(
  profile: WorkloadProfile,
  pattern: StreamPattern,
  policy: SchedulingPolicy,
  seed: number,
): Promise<StreamFigures> {
  const jobs = createJobStream(profile, pattern, seed);
  const result = await playStream(profile, pattern, jobs, policy, seed);
  return {
    ...computePayoff(result, profile),
    profile: profile.name,
    pattern: pattern.name,
    policy: policy.name,
    seed,
    ceiling: computeCeiling(jobs, profile),
    runs: result.runs,
    stopped: result.stopped,
    violations: result.violations.length,
  };
}

function matchesName(
  name: string | undefined,
): (item: {readonly name: string}) => boolean {
  return item => !name || item.name === name;
}

function parseCount(text: string): number {
  const count = Number(text);
  if (!Number.isInteger(count) || count < 1) {
    throw new InvalidArgumentError('expected a whole number of at least 1');
  }
  return count;
}
