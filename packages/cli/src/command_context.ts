/** What a command works with. */
import type {Clock} from '@galenavalve/shared';
import type {EntryClient} from './client/entry_client.js';
import type {Settings} from './input/settings.js';
import type {Output} from './output/output.js';

/** One run of a command that needs no entry instance. */
export interface OfflineCommandContext {
  output: Output;
}

/** One run of a command. */
export interface CommandContext extends OfflineCommandContext {
  client: EntryClient;
  settings: Settings;
  clock: Clock;
}
