/** Implements `galenavalve workspaces` and `galenavalve inventory`. */
import {ExitCode} from '../exit_code.js';
import {renderInventory, renderWorkspaces} from '../output/cluster_text.js';
import type {CommandContext} from '../command_context.js';

/** Prints workspaces with their guarantees. */
export async function showWorkspaces({
  client,
  output,
}: CommandContext): Promise<ExitCode> {
  output.printResult(await client.listWorkspaces(), renderWorkspaces);
  return ExitCode.ok;
}

/** Prints all failure domains, or only `domain` with its targets. */
export async function showInventory(
  {client, output}: CommandContext,
  {domain, targets}: {domain?: string; targets: boolean},
): Promise<ExitCode> {
  const inventory = await client.readInventory();
  const domains = inventory.domains.filter(({id}) => !domain || id === domain);
  output.printResult({...inventory, domains}, view =>
    renderInventory(view, {targets: targets || domain !== undefined}),
  );
  return ExitCode.ok;
}
