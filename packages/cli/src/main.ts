#!/usr/bin/env node
/** Entry point of the program `galenavalve`. */
import {runCommandLine} from './command_line.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
  environment: process.env,
  writeOut: text => process.stdout.write(text),
  writeError: text => process.stderr.write(text),
});
