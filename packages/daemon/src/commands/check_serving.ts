/** Refuses commands while the daemon starts or stops. */
import {Failure} from '@galenavalve/shared';
import type {Node} from '../node.js';

/** Throws `not-ready` or `stopping`; nothing has been recorded then. */
export function checkServing(node: Node): void {
  if (node.stage === 'starting') {
    throw new Failure('not-ready');
  }
  if (node.stage === 'stopping') {
    throw new Failure('stopping');
  }
}
