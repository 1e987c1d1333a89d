/**
 * Reads the log through peers while the log itself cannot be reached: a cut
 * between this failure domain and the platform need not stop it.
 */
import {
  PeerStateSource,
  type RecordSource,
  pullRecords,
} from '@galenavalve/membership';
import type {StateSource} from '@galenavalve/ledger';
import {type Milliseconds, describeError, isFailure} from '@galenavalve/shared';
import type {Node} from '../node.js';

/** Time between two pulls while the log cannot be read. */
const PULL_INTERVAL_MS: Milliseconds = 500;

/** After how long a pull is given up. */
const PULL_TIMEOUT_MS: Milliseconds = 1_500;

/** After how long a peer is given up that offers its state. */
const STATE_TIMEOUT_MS: Milliseconds = 5_000;

/** Pulls records from the peer that is farthest ahead, whenever own reads fail. */
export async function catchUpByPeers(
  node: Node,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await node.clock.sleep(PULL_INTERVAL_MS, signal);
    if (!signal.aborted && isCutOff(node)) {
      await pullOnce(node);
    }
  }
}

/** The states of the peers in reach that are ahead, for a process that starts. */
export function listStateSources(node: Node): StateSource[] {
  const call = node.mesh.ask.bind(node.mesh);
  return listSources(node).map(
    ({instance}) => new PeerStateSource(instance, call, STATE_TIMEOUT_MS),
  );
}

/** Tells whether no read of the log has been answered for longer than reads take. */
function isCutOff(node: Node): boolean {
  const readAt = node.follower.getFreshAt() ?? -Infinity;
  const {logWaitMs, freshnessMs} = node.settings.timings;
  return (
    node.clock.now() - readAt > Math.max(2 * logWaitMs, freshnessMs * 0.75)
  );
}

async function pullOnce(node: Node): Promise<void> {
  try {
    const page = await pullRecords(
      node.state.nextOffset,
      listSources(node),
      node.mesh.ask.bind(node.mesh),
      PULL_TIMEOUT_MS,
    );
    if (page && page.entries.length > 0) {
      const entries = page.entries.map(({offset, value}) => ({offset, value}));
      node.follower.applyRelayedEntries({entries, nextOffset: page.nextOffset});
      node.logger.info('pulled-from-peer', {
        entries: page.entries.length,
        nextOffset: page.nextOffset,
      });
    }
  } catch (error) {
    // A peer that no longer keeps the records can still hand over its state.
    const level = isFailure(error, 'offset-expired') ? 'warn' : 'info';
    node.logger[level]('pull-failed', {
      problem: describeError(error),
    });
  }
}

function listSources(node: Node): RecordSource[] {
  const now = node.clock.now();
  return node.mesh
    .peers()
    .filter(({address}) => node.mesh.isAlive(address.instance, now))
    .flatMap(({address, report}) =>
      report ? [{instance: address.instance, offset: report.offset}] : [],
    );
}
