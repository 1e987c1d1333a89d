/**
 * Runs the score regression: scores each benchmark site in sequence.
 *
 * Usage: node scripts/regression.mjs BENCH SITES [--older] [--why TEXT]. BENCH is
 * the path of the scoring program, SITES the folder with the site files. The exit
 * code is 1 when a gate fails and 2 when an argument is missing.
 */
import {spawnSync} from 'node:child_process';
import {join} from 'node:path';
import {parseArgs} from 'node:util';

/** Sites that every change is scored on, the largest first because faults show there first. */
const SITES = [
  'large/kwjt-grid-large',
  'further-grown/menon-terrain-grown',
  'grown/kwjt-grid-grown',
  'grown/txingudi-sched-grown',
];

/** Further sites, scored once before a change is merged. */
const OLDER_SITES = [
  'further/menon-terrain',
  'sites/kwjt-grid',
  'sites/txingudi-sched',
];

/** Number of emulated days that run in parallel; a day of the largest site takes up to 4 GB of memory. */
const PARALLEL_DAYS = '2';

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    why: {type: 'string', default: 'regression run'},
    older: {type: 'boolean', default: false},
  },
});
const [bench, folder] = positionals;
if (!bench || !folder) {
  console.error(
    'usage: node scripts/regression.mjs BENCH SITES [--older] [--why TEXT]',
  );
  process.exit(2);
}
const sites = values.older ? [...SITES, ...OLDER_SITES] : SITES;
const failed = sites.filter(
  site => !hasPassedGate(join(folder, `${site}.toml`)),
);
console.log(failed.length === 0 ? 'all gates passed' : `failed: ${failed}`);
process.exitCode = failed.length === 0 ? 0 : 1;

function hasPassedGate(site) {
  const {stdout} = spawnSync(
    bench,
    ['score', site, '--jobs', PARALLEL_DAYS, '--why', values.why],
    {encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit']},
  );
  process.stdout.write(stdout);
  return stdout.includes('GATE passed');
}
