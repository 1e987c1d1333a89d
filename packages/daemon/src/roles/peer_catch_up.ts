/**
 * Catches up from peers while the log cannot be read, so that a network
 * partition between this failure domain and the platform does not stop it.
 */
import {
  PeerStateSource,
  type RecordSource,
  pullRecords,
} from '@galenavalve/membership';
import type {StateSource} from '@galenavalve/ledger';
import {type Milliseconds, describeError, isFailure} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';

/** Time between two requests to peers while the log cannot be read. */
const PULL_INTERVAL_MS: Milliseconds = 500;

/** Timeout of a request for records. */
const PULL_TIMEOUT_MS: Milliseconds = 1_500;

/** Timeout of each call of a state transfer. */
const STATE_TIMEOUT_MS: Milliseconds = 5_000;

/** Fetches records from the peer with the highest offset whenever the log cannot be read. Runs until `signal` aborts. */
export async function catchUpFromPeers(
  context: DaemonContext,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await context.clock.sleep(PULL_INTERVAL_MS, signal);
    if (!signal.aborted && isLogUnreachable(context)) {
      await pullOnce(context);
    }
  }
}

/** Returns the alive peers with a report as sources of a state, for a process that starts. */
export function listStateSources(context: DaemonContext): StateSource[] {
  const call = context.mesh.call.bind(context.mesh);
  return listRecordSources(context).map(
    ({instance}) => new PeerStateSource(instance, call, STATE_TIMEOUT_MS),
  );
}

/** Returns whether the last successful read of the log is longer ago than two reads may take, or 75 % of the freshness bound if that is longer. */
function isLogUnreachable(context: DaemonContext): boolean {
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
      listRecordSources(context),
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
    // A peer that no longer caches the records can still transfer its state.
    const level = isFailure(error, 'offset-expired') ? 'warn' : 'info';
    context.logger[level]('pull-failed', {
      problem: describeError(error),
    });
  }
}

/** Lists the alive peers with a report. */
function listRecordSources(context: DaemonContext): RecordSource[] {
  const now = context.clock.now();
  return context.mesh
    .listPeers()
    .filter(({address}) => context.mesh.isAlive(address.instance, now))
    .flatMap(({address, report}) =>
      report ? [{instance: address.instance, offset: report.offset}] : [],
    );
}
