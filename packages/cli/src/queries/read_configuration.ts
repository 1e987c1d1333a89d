/** Implements `galenavalve config show`, `config diff` and `config history`. */
import type {ConfigurationView} from '@galenavalve/model';
import {ExitCode} from '../exit_code.js';
import {
  type DesiredConfiguration,
  findDifferences,
} from '../input/desired_configuration.js';
import {
  renderChanges,
  renderDifferences,
} from '../output/configuration_text.js';
import type {CommandContext} from '../command_context.js';

/** Prints the current configuration as a file for `config apply`. */
export async function showConfiguration({
  client,
  output,
}: CommandContext): Promise<ExitCode> {
  const file = createConfigurationFile(await client.readConfiguration());
  output.printResult(file, value => JSON.stringify(value, null, 2));
  return ExitCode.ok;
}

/** Prints what `config apply` would change. */
export async function showDifferences(
  {client, output}: CommandContext,
  desired: DesiredConfiguration,
  prune: boolean,
): Promise<ExitCode> {
  const current = await client.readConfiguration();
  const differences = findDifferences(desired, current, prune);
  output.printResult(differences, renderDifferences);
  return ExitCode.ok;
}

/** Prints the latest changes, both accepted and rejected. */
export async function showChanges({
  client,
  output,
}: CommandContext): Promise<ExitCode> {
  output.printResult(await client.listChanges(), renderChanges);
  return ExitCode.ok;
}

function createConfigurationFile({entities}: ConfigurationView): object {
  const versions = entities.map(({entity, version}) => [entity, version]);
  return {
    entities: entities.map(({value}) => value),
    versions: Object.fromEntries(versions),
  };
}
