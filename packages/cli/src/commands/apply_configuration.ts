/** Implements `galenavalve config apply`. */
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

/** Applies all differences between the current configuration and the file, or none. */
export async function applyConfiguration(
  {client, settings, output}: CommandContext,
  desired: DesiredConfiguration,
  {changeId, prune}: ApplyOptions,
): Promise<ExitCode> {
  const current = await client.readConfiguration();
  const differences = findDifferences(desired, current, prune);
  output.printProgress(renderDifferences(differences));
  if (differences.length === 0) {
    return ExitCode.ok;
  }
  const edits = differences.map(({edit}) => edit);
  const change = {changeId, author: settings.author, edits};
  output.printProgress(`change ${changeId}`);
  const result = await sendChange(client, change, differences);
  output.printResult(result, renderResult);
  return ExitCode.ok;
}

async function sendChange(
  client: EntryClient,
  change: ConfigurationChange,
  differences: readonly Difference[],
): Promise<ConfigurationResult> {
  try {
    return await client.configure(change);
  } catch (error) {
    throw isFailure(error, 'config-conflict')
      ? await addConflictAuthor(client, error, differences)
      : error;
  }
}

/** Adds the author, time and id of the conflicting change to a conflict. */
async function addConflictAuthor(
  client: EntryClient,
  conflict: Failure,
  differences: readonly Difference[],
): Promise<Failure> {
  const changes = await client.listChanges().catch(() => []);
  const keys = new Set(differences.map(({edit}) => edit.entity));
  const conflictKey = conflict.details['entity'];
  const conflictingChange = changes.find(
    ({accepted, entities}) =>
      accepted &&
      entities.some(key => (conflictKey ? key === conflictKey : keys.has(key))),
  );
  if (!conflictingChange) {
    return conflict;
  }
  const entity = `${conflictKey} (changed by ${conflictingChange.author} at ${formatTime(conflictingChange.at)}, change ${conflictingChange.changeId})`;
  return new Failure('config-conflict', {...conflict.details, entity});
}

function renderResult({changeId, offset}: ConfigurationResult): string {
  return `change ${changeId} is in force from offset ${offset}`;
}
