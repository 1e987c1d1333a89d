#!/usr/bin/env node
/**
 * The entry of galenavalved. V8's limits are set before anything else is
 * loaded: the memory bound of a control node is 128 MB.
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
