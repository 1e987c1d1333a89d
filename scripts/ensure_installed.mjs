/** Installs the dependencies when they are missing, for instance in a new clone. */
import {spawnSync} from 'node:child_process';
import {existsSync} from 'node:fs';

if (!existsSync('node_modules/typescript/package.json')) {
  const install = spawnSync('npm', ['ci'], {stdio: 'inherit'});
  process.exitCode = install.status ?? 1;
}
