/** Runs a benchmark by name. */
import {Command} from 'commander';
import {addPathCommand} from './path/path_command.js';

const program = new Command('bench').description(
  'measurements of galenavalve; --json prints figures for programs',
);
addPathCommand(program);
await program.parseAsync();
