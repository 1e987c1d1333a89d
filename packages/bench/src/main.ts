/** The benchmarks' command line: `npm run bench NAME -- [--json]`. */
import {Command} from 'commander';
import {registerDecideCommand} from './decide/command.js';
import {registerPolicyCommand} from './policy/command.js';

const program = new Command('bench').description(
  'Measures the decisions of galenavalve.',
);
registerPolicyCommand(program);
registerDecideCommand(program);
await program.parseAsync();
