/** Starts one stand-in as a process of its own. */
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
  'stand-ins for the platform, for tests and the demonstration',
);

addAddressOptions(program.command('log'))
  .addOption(numberOption('--appends-per-second <count>', 400))
  .addOption(numberOption('--retention-records <count>', 1_000_000))
  .action(async (options: LogCommandOptions) => {
    announce(await startLogServer(options));
  });

addAddressOptions(program.command('instances'))
  .requiredOption('--file <path>', 'JSON file with the list of instances')
  .addOption(numberOption('--lag-ms <milliseconds>', 500))
  .action(async (options: InstancesCommandOptions) => {
    const text = readFileSync(options.file, 'utf8');
    const instances = z.array(listedInstance).parse(JSON.parse(text));
    announce(await startInstanceServer({...options, instances}));
  });

addAddressOptions(program.command('targets'))
  .requiredOption('--file <path>', 'JSON file with the list of targets')
  .action(async (options: TargetsCommandOptions) => {
    const text = readFileSync(options.file, 'utf8');
    const targets = z.array(targetDefinition).parse(JSON.parse(text));
    announce(await startTargetServer({...options, targets}));
  });

await program.parseAsync();

function addAddressOptions(command: Command): Command {
  return command
    .option('--host <ip>', 'IP number to listen on', '127.0.0.1')
    .addOption(numberOption('--port <port>', 0));
}

function numberOption(flags: string, value: number): Option {
  return new Option(flags).default(value).argParser(Number);
}

function announce({url}: RunningServer): void {
  console.log(JSON.stringify({event: 'listening', url}));
}
