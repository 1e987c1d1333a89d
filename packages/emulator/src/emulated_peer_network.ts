/** Calls between emulated instances. */
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {
  type AppendCall,
  type LogPathTracker,
  type PeerEntry,
  type PeerLogClient,
  type SharedLog,
  appendTo,
} from '@galenavalve/relay';
import type {Clock, Milliseconds} from '@galenavalve/shared';
import type {NewestPage, TailPage} from '@galenavalve/workload';

/** Time of a call's way, in milliseconds; the sheets give 0.9 to 1.4 between domains. */
const WAY = 1;

/** An instance as others reach it. */
export interface ReachablePeer {
  log: SharedLog;
  access: LogPathTracker;
}

/** The network between instances. */
export class EmulatedPeerNetwork {
  /** Instances that others do not reach, and that reach none. */
  readonly isolatedInstances = new Set<string>();
  private readonly peers = new Map<string, ReachablePeer>();

  constructor(private readonly clock: Clock) {}

  /** An instance can be reached; its parts are guarded by its power. */
  add(name: string, peer: ReachablePeer): void {
    this.peers.set(name, peer);
  }

  /** The network as one instance reaches it. */
  createPeerLogClient(from: string): PeerLogClient {
    const reach = (peer: PeerEntry, timeout: Milliseconds) =>
      this.reach(from, peer, timeout);
    return {
      append: async (peer, _log, call, timeout) =>
        this.append(await reach(peer, timeout), call, timeout),
      readNewest: async (peer, _log, after, timeout): Promise<NewestPage> =>
        expect(await reach(peer, timeout)).readNewest(after),
      readTail: async (peer, _log, offset, wait, timeout): Promise<TailPage> =>
        expect(await reach(peer, timeout)).readTail(offset, wait),
    };
  }

  private async append(
    peer: ReachablePeer | undefined,
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    if (!peer) {
      return {kind: 'unknown', problem: 'the peer does not answer'};
    }
    return peer.access.isAvailableToPeers
      ? Promise.race([appendTo(peer.log, call, timeout), this.expire(timeout)])
      : {kind: 'refused', problem: 'the peer does not reach the log'};
  }

  private async expire(timeout: Milliseconds): Promise<FencedAppendOutcome> {
    await this.clock.sleep(timeout);
    return {kind: 'unknown', problem: 'the peer does not answer'};
  }

  private async reach(
    from: string,
    {instance}: PeerEntry,
    timeout: Milliseconds,
  ): Promise<ReachablePeer | undefined> {
    const isCut =
      this.isolatedInstances.has(from) || this.isolatedInstances.has(instance);
    await this.clock.sleep(isCut ? timeout : WAY);
    return isCut ? undefined : this.peers.get(instance);
  }
}

function expect(peer: ReachablePeer | undefined): SharedLog {
  if (!peer?.access.isAvailableToPeers) {
    throw new Error('the peer does not help');
  }
  return peer.log;
}
