/** Whether this instance reaches the logs itself, and which peers do. */
import type {Instant, Logger, Milliseconds, Random} from '@galenavalve/shared';
import {nextInteger} from '@galenavalve/shared';
import type {PeerDirectory} from './peer_directory.js';
import type {PeerEntry} from './peer_entry.js';

/** After a call without an answer, calls go through peers for this long before the log is tried directly again. */
const SILENCE_PAUSE: Milliseconds = 1000;

/** The same after a refusal, which costs no waiting: the end of an outage for all is then noticed soon. */
const REFUSAL_PAUSE: Milliseconds = 300;

/** A failure within this time was a refusal; a store that is a hundred times slow answers later. */
const PROMPT: Milliseconds = 200;

/** A peer that failed is not asked for this long. */
const PEER_PAUSE: Milliseconds = 1500;

/** Most peers that one call is passed to: where two fail as well, the log is away for all. */
const MAX_PEERS = 2;

/** What one instance knows of the ways to the store of all logs. */
export class LogPathTracker {
  private failedUntil: Instant = -Infinity;
  private hasFailed = false;
  private readonly peersFailedUntil = new Map<string, Instant>();
  private lastGood?: string;
  private waiters: Array<() => void> = [];

  constructor(
    private readonly peers: PeerDirectory,
    private readonly domain: string,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Whether the next call is to be made directly. */
  isDirectPathAvailable(now: Instant): boolean {
    return now >= this.failedUntil;
  }

  /** Whether other instances can serve peers through this one. */
  get isAvailableToPeers(): boolean {
    return !this.hasFailed;
  }

  /** A direct call was answered. */
  onDirectAnswer(): void {
    if (this.hasFailed) {
      this.hasFailed = false;
      this.logger.info('log-direct', {});
    }
    this.failedUntil = -Infinity;
  }

  /** A direct call that began at `startedAt` was refused or not answered. */
  onDirectFailure(problem: string, startedAt: Instant, now: Instant): void {
    const isRefusal = now - startedAt <= PROMPT;
    this.failedUntil = now + (isRefusal ? REFUSAL_PAUSE : SILENCE_PAUSE);
    if (!this.hasFailed) {
      this.hasFailed = true;
      this.logger.warn('log-through-peers', {
        problem,
        peers: this.peers.listPeers().length,
      });
    }
    this.waiters.forEach(wake => wake());
    this.waiters = [];
  }

  /** Resolves when a direct call fails; what waits on a silent connection need not wait on. */
  waitForDirectFailure(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      signal.addEventListener('abort', () => {
        this.waiters = this.waiters.filter(each => each !== resolve);
      });
    });
  }

  /** Peers to ask, best first: the one that served last, then those of this failure domain. */
  choosePeers(now: Instant): PeerEntry[] {
    const open = this.peers
      .listPeers()
      .filter(
        ({instance}) => (this.peersFailedUntil.get(instance) ?? 0) <= now,
      );
    const chosen: PeerEntry[] = [];
    const last = open.find(({instance}) => instance === this.lastGood);
    if (last) {
      chosen.push(last);
    }
    const near = open.filter(peer => peer.domain === this.domain);
    for (const group of [near, open]) {
      const rest = group.filter(peer => !chosen.includes(peer));
      if (rest.length > 0 && chosen.length < MAX_PEERS) {
        chosen.push(rest[nextInteger(this.random, rest.length)]!);
      }
    }
    return chosen;
  }

  onPeerAnswer({instance}: PeerEntry): void {
    this.lastGood = instance;
  }

  onPeerFailure({instance}: PeerEntry, problem: string, now: Instant): void {
    if (this.lastGood === instance) {
      this.lastGood = undefined;
    }
    this.peersFailedUntil.set(instance, now + PEER_PAUSE);
    this.logger.debug('peer-failed', {peer: instance, problem});
  }
}
