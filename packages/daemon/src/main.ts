#!/usr/bin/env node
/**
 * Entry point of galenavalved. Sets the limits of V8 before any other module is
 * loaded, because the daemon may use at most 128 MB of memory.
 */
import {setFlagsFromString} from 'node:v8';

const V8_FLAGS = [
  '--max-semi-space-size=1',
  '--max-old-space-size=80',
  '--optimize-for-size',
];

for (const flag of V8_FLAGS) {
  setFlagsFromString(flag);
}
const {runCommandLine} = await import('./command_line.js');
await runCommandLine(process.argv);
