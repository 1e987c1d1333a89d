/** `galenavalve drain` and `galenavalve restore`. */
import type {
  ConfigurationResult,
  DomainView,
  InventoryView,
} from '@galenavalve/model';
import {isFailure, type Milliseconds} from '@galenavalve/shared';
import type {EntryClient} from '../client/entry_client.js';
import {ExitCode} from '../exit_code.js';
import {renderDomainProgress} from '../output/cluster_text.js';
import type {CommandContext} from '../command_context.js';

const POLL_INTERVAL_MS = 1000;

/** Takes a failure domain out of service, and waits up to `wait` until nothing runs there. */
export async function drain(
  session: CommandContext,
  domain: string,
  wait: Milliseconds,
): Promise<ExitCode> {
  const {offset} = await recordDrain(session, domain);
  return watchDomain(session, {domain, offset, wait, isDone: isDrained});
}

/** Brings a failure domain back, and waits up to `wait` until it is scheduled again. */
export async function restore(
  session: CommandContext,
  domain: string,
  wait: Milliseconds,
): Promise<ExitCode> {
  const {client, settings} = session;
  const {offset} = await client.restore(domain, settings.author);
  return watchDomain(session, {domain, offset, wait, isDone: isRestored});
}

/** Without a record only a hold may keep starts back, which the failure does not say. */
async function recordDrain(
  {client, settings, output}: CommandContext,
  domain: string,
): Promise<ConfigurationResult> {
  try {
    return await client.drain(domain, settings.author);
  } catch (error) {
    if (isFailure(error) && error.status >= 500) {
      output.printProgress(
        `${domain} may be held: "galenavalve inventory" shows it. Repeat the command until it is recorded.`,
      );
    }
    throw error;
  }
}

interface Watch {
  domain: string;
  /** Offset of the change; an older view does not show it. */
  offset: number;
  wait: Milliseconds;
  isDone: (view: DomainView) => boolean;
}

async function watchDomain(
  {client, clock, output}: CommandContext,
  {domain, offset, wait, isDone}: Watch,
): Promise<ExitCode> {
  output.printProgress(`recorded at offset ${offset}`);
  const deadline = clock.now() + wait;
  let shown = '';
  for (;;) {
    const view = await findDomain(client, domain, offset);
    const text = view ? renderDomainProgress(view) : shown;
    if (view && isDone(view)) {
      output.printResult(view, renderDomainProgress);
      return ExitCode.ok;
    }
    if (text !== shown) {
      output.printProgress(text);
      shown = text;
    }
    if (clock.now() + POLL_INTERVAL_MS > deadline) {
      return wait > 0 ? ExitCode.unfinished : ExitCode.ok;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

/** The failure domain as it is after the change; undefined while no instance shows it. */
async function findDomain(
  client: EntryClient,
  id: string,
  offset: number,
): Promise<DomainView | undefined> {
  const inventory = await readIfPossible(client);
  if (!inventory || inventory.offset <= offset) {
    return undefined;
  }
  return inventory.domains.find(domain => domain.id === id);
}

/** The change is recorded, so a failed question says nothing about it. */
async function readIfPossible(
  client: EntryClient,
): Promise<InventoryView | undefined> {
  try {
    return await client.readInventory();
  } catch (error) {
    if (isFailure(error)) {
      return undefined;
    }
    throw error;
  }
}

function isDrained({state, running}: DomainView): boolean {
  return state !== 'in-service' && running === 0;
}

function isRestored({state, scheduler}: DomainView): boolean {
  return state === 'in-service' && scheduler !== undefined;
}
