/** `galenavalve config apply`. */
import type {
  ConfigurationChange,
  ConfigurationResult,
} from '@galenavalve/model';
import {Failure, isFailure} from '@galenavalve/shared';
import type {EntryClient} from '../client/entry_client.js';
import {ExitCode} from '../exit_code.js';
import {
  type DesiredConfiguration,
  type Difference,
  findDifferences,
} from '../input/desired_configuration.js';
import {renderDifferences} from '../output/configuration_text.js';
import {formatTime} from '../output/format.js';
import type {CommandContext} from '../command_context.js';

/** Options of `config apply`. */
export interface ApplyOptions {
  /** Idempotency key of the change. */
  changeId: string;
  /** Removes the entities that the file does not list. */
  prune: boolean;
}

/** Changes the configuration in force to what the file lists, all or nothing. */
export async function applyConfiguration(
  {client, settings, output}: CommandContext,
  desired: DesiredConfiguration,
  {changeId, prune}: ApplyOptions,
): Promise<ExitCode> {
  const present = await client.readConfiguration();
  const differences = findDifferences(desired, present, prune);
  output.printProgress(renderDifferences(differences));
  if (differences.length === 0) {
    return ExitCode.ok;
  }
  const edits = differences.map(({edit}) => edit);
  const change = {changeId, author: settings.author, edits};
  output.printProgress(`change ${changeId}`);
  const result = await configure(client, change, differences);
  output.printResult(result, renderResult);
  return ExitCode.ok;
}

async function configure(
  client: EntryClient,
  change: ConfigurationChange,
  differences: readonly Difference[],
): Promise<ConfigurationResult> {
  try {
    return await client.configure(change);
  } catch (error) {
    throw isFailure(error, 'config-conflict')
      ? await nameAuthor(client, error, differences)
      : error;
  }
}

/** Adds who made the change that came first. */
async function nameAuthor(
  client: EntryClient,
  conflict: Failure,
  differences: readonly Difference[],
): Promise<Failure> {
  const changes = await client.listChanges().catch(() => []);
  const keys = new Set(differences.map(({edit}) => edit.entity));
  const named = conflict.details['entity'];
  const rival = changes.find(
    ({accepted, entities}) =>
      accepted && entities.some(key => (named ? key === named : keys.has(key))),
  );
  if (!rival) {
    return conflict;
  }
  const entity = `${named} (changed by ${rival.author} at ${formatTime(rival.at)}, change ${rival.changeId})`;
  return new Failure('config-conflict', {...conflict.details, entity});
}

function renderResult({changeId, offset}: ConfigurationResult): string {
  return `change ${changeId} is in force from offset ${offset}`;
}
