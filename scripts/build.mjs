/** Compiles every package in the order of the project references. */
import {spawnSync} from 'node:child_process';

const build = spawnSync(
  process.execPath,
  ['node_modules/typescript/bin/tsc', '-b', 'tsconfig.json'],
  {stdio: 'inherit'},
);
process.exitCode = build.status ?? 1;
