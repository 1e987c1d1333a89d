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
import type {DaemonContext} from '../daemon_context.js';

/** Time between two pulls while the log cannot be read. */
const PULL_INTERVAL_MS: Milliseconds = 500;

/** After how long a pull is given up. */
const PULL_TIMEOUT_MS: Milliseconds = 1_500;

/** After how long a peer is given up that offers its state. */
const STATE_TIMEOUT_MS: Milliseconds = 5_000;

/** Pulls records from the peer that is farthest ahead, whenever own reads fail. */
export async function catchUpFromPeers(
  context: DaemonContext,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await context.clock.sleep(PULL_INTERVAL_MS, signal);
    if (!signal.aborted && isCutOff(context)) {
      await pullOnce(context);
    }
  }
}

/** The states of the peers in reach that are ahead, for a process that starts. */
export function listStateSources(context: DaemonContext): StateSource[] {
  const call = context.mesh.call.bind(context.mesh);
  return listSources(context).map(
    ({instance}) => new PeerStateSource(instance, call, STATE_TIMEOUT_MS),
  );
}

/** Tells whether no read of the log has been answered for longer than reads take. */
function isCutOff(context: DaemonContext): boolean {
  const readAt = context.follower.getFreshAt() ?? -Infinity;
  const {logWaitMs, freshnessMs} = context.settings.timings;
  return (
    context.clock.now() - readAt > Math.max(2 * logWaitMs, freshnessMs * 0.75)
  );
}

async function pullOnce(context: DaemonContext): Promise<void> {
  try {
    const page = await pullRecords(
      context.state.nextOffset,
      listSources(context),
      context.mesh.call.bind(context.mesh),
      PULL_TIMEOUT_MS,
    );
    if (page && page.entries.length > 0) {
      const entries = page.entries.map(({offset, value}) => ({offset, value}));
      context.follower.applyRelayedEntries({
        entries,
        nextOffset: page.nextOffset,
      });
      context.logger.info('pulled-from-peer', {
        entries: page.entries.length,
        nextOffset: page.nextOffset,
      });
    }
  } catch (error) {
    // A peer that no longer keeps the records can still hand over its state.
    const level = isFailure(error, 'offset-expired') ? 'warn' : 'info';
    context.logger[level]('pull-failed', {
      problem: describeError(error),
    });
  }
}

function listSources(context: DaemonContext): RecordSource[] {
  const now = context.clock.now();
  return context.mesh
    .listPeers()
    .filter(({address}) => context.mesh.isAlive(address.instance, now))
    .flatMap(({address, report}) =>
      report ? [{instance: address.instance, offset: report.offset}] : [],
    );
}
