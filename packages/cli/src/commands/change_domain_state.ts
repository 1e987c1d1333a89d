/** Implements `galenavalve drain` and `galenavalve restore`. */
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

/** Pause between two reads of the inventory. */
const POLL_INTERVAL_MS = 1000;

/** Takes a failure domain out of service, and waits up to `waitMs` until nothing runs there. */
export async function drain(
  context: CommandContext,
  domain: string,
  waitMs: Milliseconds,
): Promise<ExitCode> {
  const {offset} = await recordDrain(context, domain);
  return watchDomain(context, {domain, offset, waitMs, isDone: isDrained});
}

/**
 * Brings a failure domain back into service, and waits up to `waitMs` until it
 * has a scheduler.
 */
export async function restore(
  context: CommandContext,
  domain: string,
  waitMs: Milliseconds,
): Promise<ExitCode> {
  const {client, settings} = context;
  const {offset} = await client.restore(domain, settings.author);
  return watchDomain(context, {domain, offset, waitMs, isDone: isRestored});
}

/**
 * Records the drain. If that fails, prints that a hold may be in effect, which
 * prevents starts in the domain and which the failure does not mention.
 */
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

/** Failure domain to watch, and the state to wait for. */
interface WatchOptions {
  domain: string;
  /** Offset of the change; a view that was read only up to it does not show the change. */
  offset: number;
  waitMs: Milliseconds;
  isDone: (view: DomainView) => boolean;
}

/**
 * Prints the progress of a failure domain until it reaches the desired state or
 * the wait ends.
 */
async function watchDomain(
  {client, clock, output}: CommandContext,
  {domain, offset, waitMs, isDone}: WatchOptions,
): Promise<ExitCode> {
  output.printProgress(`recorded at offset ${offset}`);
  const deadline = clock.now() + waitMs;
  let lastText = '';
  for (;;) {
    const view = await findDomain(client, domain, offset);
    const text = view ? renderDomainProgress(view) : lastText;
    if (view && isDone(view)) {
      output.printResult(view, renderDomainProgress);
      return ExitCode.ok;
    }
    if (text !== lastText) {
      output.printProgress(text);
      lastText = text;
    }
    if (clock.now() + POLL_INTERVAL_MS > deadline) {
      return waitMs > 0 ? ExitCode.unfinished : ExitCode.ok;
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Returns the failure domain after the change; undefined if the response does
 * not show the change.
 */
async function findDomain(
  client: EntryClient,
  id: string,
  offset: number,
): Promise<DomainView | undefined> {
  const inventory = await tryReadInventory(client);
  if (!inventory || inventory.offset <= offset) {
    return undefined;
  }
  return inventory.domains.find(domain => domain.id === id);
}

/**
 * Returns undefined for a failed query: the change is recorded, whether or not
 * it can be read.
 */
async function tryReadInventory(
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
