/** Network between emulated instances, for access to the log through a peer. */
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {
  type AppendCall,
  type LogPathTracker,
  type LeaderServices,
  type PeerEntry,
  type PeerJobClient,
  type PeerLogClient,
  type SharedLog,
  appendTo,
} from '@galenavalve/relay';
import type {Clock, Milliseconds} from '@galenavalve/shared';
import type {NewestPage, TailPage} from '@galenavalve/workload';

/** One-way latency of a call; the platform specifies 0.9 to 1.4 ms between domains. */
const ONE_WAY_LATENCY_MS = 1;

/** An instance as its peers call it. */
export interface ReachablePeer {
  log: SharedLog;
  logPath: LogPathTracker;
  leader: LeaderServices;
  /** Whether its process runs. */
  isRunning: () => boolean;
}

/** Carries calls between instances and isolates instances on request. */
export class EmulatedPeerNetwork {
  /** Names of instances that cannot reach their peers and cannot be reached. */
  readonly isolatedInstances = new Set<string>();
  private readonly peers = new Map<string, ReachablePeer>();

  constructor(private readonly clock: Clock) {}

  /** Makes an instance reachable; its log must be wrapped by its `EmulatedProcess`. */
  add(name: string, peer: ReachablePeer): void {
    this.peers.set(name, peer);
  }

  /** Returns a client through which one instance calls its peers. */
  createPeerLogClient(from: string): PeerLogClient {
    const reach = (peer: PeerEntry, timeout: Milliseconds) =>
      this.reachPeer(from, peer, timeout);
    return {
      append: async (peer, _log, call, timeout) =>
        this.append(await reach(peer, timeout), call, timeout),
      readNewest: async (peer, _log, after, timeout): Promise<NewestPage> => {
        const log = requireLog(await reach(peer, timeout));
        return this.read(log.readNewest(after), timeout);
      },
      readTail: async (
        peer,
        _log,
        offset,
        wait,
        timeout,
      ): Promise<TailPage> => {
        const log = requireLog(await reach(peer, timeout));
        return this.read(log.readTail(offset, wait), wait + timeout);
      },
    };
  }

  /** Returns a client through which one instance calls a peer that leads. */
  createPeerJobClient(from: string): PeerJobClient {
    const reach = async (peer: PeerEntry, timeout: Milliseconds) => {
      const reached = await this.reachPeer(from, peer, timeout);
      if (!reached?.isRunning()) {
        throw new Error('the peer does not respond');
      }
      return reached.leader;
    };
    return {
      passRecord: async (peer, record, timeout) => {
        const {jobs, applyRecord} = await reach(peer, timeout);
        if (jobs.isDispatching) {
          applyRecord(record);
        }
      },
    };
  }

  private async append(
    peer: ReachablePeer | undefined,
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    if (!peer) {
      return {kind: 'unknown', problem: 'the peer does not respond'};
    }
    return peer.logPath.isAvailableToPeers
      ? Promise.race([appendTo(peer.log, call, timeout), this.timeOut(timeout)])
      : {kind: 'refused', problem: 'the peer cannot reach the log'};
  }

  /** Rejects when a page does not come within `timeout`, as from a process that was killed. */
  private async read<Page>(
    page: Promise<Page>,
    timeout: Milliseconds,
  ): Promise<Page> {
    const timer = new AbortController();
    const expired = this.clock.sleep(timeout, timer.signal).then(() => {
      throw new Error('the peer does not respond');
    });
    try {
      return await Promise.race([page, expired]);
    } finally {
      timer.abort();
      expired.catch(() => undefined);
      page.catch(() => undefined);
    }
  }

  /** Returns an unknown outcome after `timeout`. */
  private async timeOut(timeout: Milliseconds): Promise<FencedAppendOutcome> {
    await this.clock.sleep(timeout);
    return {kind: 'unknown', problem: 'the peer does not respond'};
  }

  /** Returns a peer after the network latency; undefined after `timeout` if one side is isolated. */
  private async reachPeer(
    from: string,
    {instance}: PeerEntry,
    timeout: Milliseconds,
  ): Promise<ReachablePeer | undefined> {
    const isIsolated =
      this.isolatedInstances.has(from) || this.isolatedInstances.has(instance);
    await this.clock.sleep(isIsolated ? timeout : ONE_WAY_LATENCY_MS);
    return isIsolated ? undefined : this.peers.get(instance);
  }
}

/** Returns the log of a peer; throws if the peer is missing or cannot reach the log. */
function requireLog(peer: ReachablePeer | undefined): SharedLog {
  if (!peer?.logPath.isAvailableToPeers) {
    throw new Error('the peer cannot be reached or cannot reach the log');
  }
  return peer.log;
}
