/** Contexts in which commands run. */
import type {Clock} from '@galenavalve/shared';
import type {EntryClient} from './client/entry_client.js';
import type {Settings} from './input/settings.js';
import type {Output} from './output/output.js';

/** Context of a command that calls no entry instance. */
export interface OfflineCommandContext {
  output: Output;
}

/** Context of a command that calls entry instances. */
export interface CommandContext extends OfflineCommandContext {
  client: EntryClient;
  settings: Settings;
  clock: Clock;
}
