/** Deletes the build output of every package in packages/. */
import {readdirSync, rmSync} from 'node:fs';

for (const name of readdirSync('packages')) {
  rmSync(`packages/${name}/dist`, {recursive: true, force: true});
}
