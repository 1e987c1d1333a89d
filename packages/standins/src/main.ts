/** Command line of the stand-ins; each command runs one stand-in as a process. */
import {readFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {z} from 'zod';
import {listedInstance} from '@galenavalve/membership';
import type {RunningServer} from './http/http_server.js';
import {startInstanceServer} from './instances/instance_server.js';
import {startLogServer} from './log/log_server.js';
import {startTargetServer, targetDefinition} from './targets/target_server.js';

interface LogCommandOptions {
  host: string;
  port: number;
  appendsPerSecond: number;
  retentionRecords: number;
}

interface InstancesCommandOptions {
  host: string;
  port: number;
  lagMs: number;
  file: string;
}

interface TargetsCommandOptions {
  host: string;
  port: number;
  file: string;
}

const program = new Command('standins').description(
  'stand-ins for the platform services, for tests and the demonstration',
);

addAddressOptions(program.command('log'))
  .addOption(createNumberOption('--appends-per-second <count>', 400))
  .addOption(createNumberOption('--retention-records <count>', 1_000_000))
  .action(async (options: LogCommandOptions) => {
    printAddress(await startLogServer(options));
  });

addAddressOptions(program.command('instances'))
  .requiredOption('--file <path>', 'JSON file with the initial instance list')
  .addOption(createNumberOption('--lag-ms <milliseconds>', 500))
  .action(async (options: InstancesCommandOptions) => {
    const text = readFileSync(options.file, 'utf8');
    const instances = z.array(listedInstance).parse(JSON.parse(text));
    printAddress(await startInstanceServer({...options, instances}));
  });

addAddressOptions(program.command('targets'))
  .requiredOption(
    '--file <path>',
    'JSON file with the definitions of the targets',
  )
  .action(async (options: TargetsCommandOptions) => {
    const text = readFileSync(options.file, 'utf8');
    const targets = z.array(targetDefinition).parse(JSON.parse(text));
    printAddress(await startTargetServer({...options, targets}));
  });

await program.parseAsync();

function addAddressOptions(command: Command): Command {
  return command
    .option('--host <ip>', 'IP address to listen on', '127.0.0.1')
    .addOption(createNumberOption('--port <port>', 0));
}

function createNumberOption(flags: string, defaultValue: number): Option {
  return new Option(flags).default(defaultValue).argParser(Number);
}

/** Prints the line from which the starting process reads the URL. */
function printAddress({url}: RunningServer): void {
  console.log(JSON.stringify({event: 'listening', url}));
}
