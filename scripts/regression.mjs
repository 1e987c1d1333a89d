/**
 * Scores the sites that every landing is measured on, one after the other.
 *
 * Usage: node scripts/regression.mjs BENCH SITES [--why TEXT]; BENCH is the bench's program,
 * SITES the folder that holds the site files. Ends with 1 when a gate failed.
 */
import {spawnSync} from 'node:child_process';
import {join} from 'node:path';
import {parseArgs} from 'node:util';

/** Largest first: what falls over shows there. */
const SITES = [
  'large/kwjt-grid-large',
  'further-grown/menon-terrain-grown',
  'grown/kwjt-grid-grown',
  'grown/txingudi-sched-grown',
];

/** Scored once before a landing. */
const OLDER_SITES = [
  'further/menon-terrain',
  'sites/kwjt-grid',
  'sites/txingudi-sched',
];

/** Days played side by side: a day of the largest site takes up to 4 GB. */
const JOBS = '2';

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
const failed = sites.filter(site => !isPassed(join(folder, `${site}.toml`)));
console.log(failed.length === 0 ? 'all gates passed' : `failed: ${failed}`);
process.exitCode = failed.length === 0 ? 0 : 1;

function isPassed(site) {
  const {stdout} = spawnSync(
    bench,
    ['score', site, '--jobs', JOBS, '--why', values.why],
    {encoding: 'utf8', stdio: ['ignore', 'pipe', 'inherit']},
  );
  process.stdout.write(stdout);
  return stdout.includes('GATE passed');
}
