/** Tracks the paths to the log: whether this instance reaches it directly, and which peers reach it. */
import type {Instant, Logger, Milliseconds, Random} from '@galenavalve/shared';
import {nextInteger} from '@galenavalve/shared';
import type {PeerDirectory} from './peer_directory.js';
import type {PeerEntry} from './peer_entry.js';

/** Time for which calls go through peers, after a direct call without a response, before the log is tried directly again. */
const RETRY_DELAY_AFTER_TIMEOUT_MS: Milliseconds = 1000;

/** The same after a refusal. It is shorter because a refused call costs no waiting, so the end of an outage for all instances is detected soon. */
const RETRY_DELAY_AFTER_REFUSAL_MS: Milliseconds = 300;

/** A call that fails within this time counts as refused; a log that is slower by a factor of a hundred responds later. */
const MAX_REFUSAL_TIME_MS: Milliseconds = 200;

/** Time for which a peer is not called after a failure. */
const PEER_RETRY_DELAY_MS: Milliseconds = 1500;

/** Maximum number of peers that one call tries; if two fail as well, the log is taken to be unreachable for all instances. */
const MAX_PEERS = 2;

/** Tracks the paths from one instance to the log service, which hosts all logs. */
export class LogPathTracker {
  private directRetryTime: Instant = -Infinity;
  private hasDirectFailed = false;
  private readonly peerRetryTimes = new Map<string, Instant>();
  private lastResponsivePeer?: string;
  private waiters: Array<() => void> = [];
  private recoveryWaiters: Array<(responseTime: Milliseconds) => void> = [];

  constructor(
    private readonly peers: PeerDirectory,
    private readonly domain: string,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Returns whether the next call should be made directly. */
  isDirectPathAvailable(now: Instant): boolean {
    return now >= this.directRetryTime;
  }

  /** Whether this instance can serve calls of its peers: its last direct call did not fail. */
  get isAvailableToPeers(): boolean {
    return !this.hasDirectFailed;
  }

  /** Called after a response to a direct call. `responseTime` is omitted for reads that wait for records. */
  onDirectResponse(responseTime: Milliseconds = Infinity): void {
    this.directRetryTime = -Infinity;
    if (!this.hasDirectFailed) {
      return;
    }
    this.hasDirectFailed = false;
    this.logger.info('log-direct', {});
    const waiters = this.recoveryWaiters;
    this.recoveryWaiters = [];
    waiters.forEach(resolve => resolve(responseTime));
  }

  /** Resolves with the response time when the log responds to a direct call after others failed. Aborting `signal` ends the wait without resolving. */
  waitForRecovery(signal: AbortSignal): Promise<Milliseconds> {
    return new Promise(resolve => {
      this.recoveryWaiters.push(resolve);
      signal.addEventListener('abort', () => {
        this.recoveryWaiters = this.recoveryWaiters.filter(
          waiter => waiter !== resolve,
        );
      });
    });
  }

  /** Called after a direct call, started at `startedAt`, that was refused or got no response. */
  onDirectFailure(problem: string, startedAt: Instant, now: Instant): void {
    const isRefusal = now - startedAt <= MAX_REFUSAL_TIME_MS;
    this.directRetryTime =
      now +
      (isRefusal ? RETRY_DELAY_AFTER_REFUSAL_MS : RETRY_DELAY_AFTER_TIMEOUT_MS);
    if (!this.hasDirectFailed) {
      this.hasDirectFailed = true;
      this.logger.warn('log-through-peers', {
        problem,
        peers: this.peers.listPeers().length,
      });
    }
    this.waiters.forEach(resolve => resolve());
    this.waiters = [];
  }

  /** Resolves when a direct call fails, so that other calls need not wait for an unresponsive connection. Aborting `signal` ends the wait without resolving. */
  waitForDirectFailure(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      signal.addEventListener('abort', () => {
        this.waiters = this.waiters.filter(waiter => waiter !== resolve);
      });
    });
  }

  /** Chooses the peers to call, in order of preference: the one that responded last, then one of this failure domain, then any other. */
  choosePeers(now: Instant): PeerEntry[] {
    const availablePeers = this.peers
      .listPeers()
      .filter(({instance}) => (this.peerRetryTimes.get(instance) ?? 0) <= now);
    const chosenPeers: PeerEntry[] = [];
    const last = availablePeers.find(
      ({instance}) => instance === this.lastResponsivePeer,
    );
    if (last) {
      chosenPeers.push(last);
    }
    const domainPeers = availablePeers.filter(
      peer => peer.domain === this.domain,
    );
    for (const candidates of [domainPeers, availablePeers]) {
      const remaining = candidates.filter(peer => !chosenPeers.includes(peer));
      if (remaining.length > 0 && chosenPeers.length < MAX_PEERS) {
        chosenPeers.push(
          remaining[nextInteger(this.random, remaining.length)]!,
        );
      }
    }
    return chosenPeers;
  }

  /** Called after a response of a peer. */
  onPeerResponse({instance}: PeerEntry): void {
    this.lastResponsivePeer = instance;
  }

  /** Called after a peer failed to serve a call. */
  onPeerFailure({instance}: PeerEntry, problem: string, now: Instant): void {
    if (this.lastResponsivePeer === instance) {
      this.lastResponsivePeer = undefined;
    }
    this.peerRetryTimes.set(instance, now + PEER_RETRY_DELAY_MS);
    this.logger.debug('peer-failed', {peer: instance, problem});
  }
}
