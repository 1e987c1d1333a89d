/** `bench decide`: time and memory of decisions, by size. */
import type {Command} from 'commander';

/** Adds `decide` to the command line. */
export function registerDecideCommand(program: Command): void {
  program.command('decide');
}
