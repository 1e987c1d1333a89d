/** Rejects commands while the daemon starts or stops. */
import {Failure} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';

/** Throws `not-ready` or `stopping` when the daemon is not serving; nothing has been recorded then. */
export function checkServing(context: DaemonContext): void {
  if (context.stage === 'starting') {
    throw new Failure('not-ready');
  }
  if (context.stage === 'stopping') {
    throw new Failure('stopping');
  }
}
