/** Runs a benchmark by name. */
import {Command} from 'commander';
import {addPathCommand} from './path/path_command.js';
import {registerSlopesCommand} from './slopes/command.js';

const program = new Command('bench').description(
  'measurements of galenavalve; --json prints figures for programs',
);
addPathCommand(program);
registerSlopesCommand(program);
await program.parseAsync();
