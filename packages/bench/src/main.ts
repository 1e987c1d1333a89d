/** Command line of the benchmarks: `npm run bench NAME -- [--json]`. */
import {Command} from 'commander';
import {registerDecideCommand} from './decide/command.js';
import {registerDispatchCommand} from './dispatch/command.js';
import {registerMemoryCommand} from './memory/command.js';
import {registerPathCommand} from './path/command.js';
import {registerPolicyCommand} from './policy/command.js';
import {registerSlopesCommand} from './slopes/command.js';

const program = new Command('bench').description(
  'Runs the benchmarks of galenavalve; --json prints the figures as JSON.',
);
registerPolicyCommand(program);
registerDecideCommand(program);
registerDispatchCommand(program);
registerMemoryCommand(program);
registerPathCommand(program);
registerSlopesCommand(program);
await program.parseAsync();
