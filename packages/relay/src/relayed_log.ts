/** A log that is called through a peer while the direct path to it fails. */
import type {FencingToken, FencedAppendOutcome} from '@galenavalve/dispatch';
import type {AppendOutcome} from '@galenavalve/gateway';
import {
  type Clock,
  type Instant,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {KeyedRecord, NewestPage, TailPage} from '@galenavalve/workload';
import type {LogPathTracker} from './log_path_tracker.js';
import type {PeerEntry} from './peer_entry.js';
import {
  type AppendCall,
  type PeerLogClient,
  type SharedLog,
  appendTo,
  toUnfencedOutcome,
} from './peer_log_client.js';

/** Timeout of a direct append if a peer can be called afterwards; a log that is slower by a factor of a hundred responds in less. */
const DIRECT_APPEND_TIMEOUT_MS: Milliseconds = 700;

/** Timeout of a call to a peer, in addition to the requested wait; long enough for the peer's own call to a slow log. */
const PEER_TIMEOUT_MS: Milliseconds = 700;

/** Multiple of a probe's response time, plus a margin, after which a direct append that began in an outage is taken to be lost with its connection. */
const LOST_APPEND_FACTOR = 3;
const LOST_APPEND_MARGIN_MS: Milliseconds = 200;

/** The same for a read. The factor is larger because a response may be large and the link congested, which would then transfer it twice. */
const LOST_READ_FACTOR = 6;
const LOST_READ_MARGIN_MS: Milliseconds = 50;

/** Time without new records after which a direct read is compared with a peer's read; the leader's heartbeats are more frequent than this. */
const PEER_COMPARISON_DELAY_MS: Milliseconds = 450;

/** One log as one instance calls it. Calls go directly to the log if that path works, and to peers otherwise. */
export class RelayedLog implements SharedLog {
  constructor(
    private readonly name: string,
    private readonly direct: SharedLog,
    private readonly pathTracker: LogPathTracker,
    private readonly peerClient: PeerLogClient,
    private readonly clock: Clock,
    /** Whether the leader writes its heartbeats to this log, so that new records always arrive. */
    private readonly hasHeartbeats = false,
  ) {}

  /** Appends records without a fencing token, directly or through a peer; `endsAt` is a condition as in `RecordAppender`. */
  async append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
    endsAt?: number,
  ): Promise<AppendOutcome> {
    const call = {records, endsAt};
    return toUnfencedOutcome(await this.appendOnAnyPath(call, timeout));
  }

  /** Appends records with a fencing token, directly or through a peer. */
  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    return this.appendOnAnyPath({records, fencing}, timeout);
  }

  /** Reads a page of the newest record of each key, directly or through a peer. */
  readNewest(after: string | undefined): Promise<NewestPage> {
    return this.read(
      () => this.direct.readNewest(after),
      peer =>
        this.peerClient.readNewest(peer, this.name, after, PEER_TIMEOUT_MS),
    );
  }

  /** Reads the records from `offset` on, directly or through a peer. */
  async readTail(offset: number, wait: Milliseconds): Promise<TailPage> {
    return this.read(
      () => this.readTailDirectly(offset, wait),
      peer =>
        this.peerClient.readTail(
          peer,
          this.name,
          offset,
          wait,
          PEER_TIMEOUT_MS,
        ),
    );
  }

  /** Appends directly unless that failed recently, then through peers until the outcome is conclusive. */
  private async appendOnAnyPath(
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    const deadline = this.clock.now() + timeout;
    const peers = this.pathTracker.choosePeers(this.clock.now());
    let failure: FencedAppendOutcome | undefined;
    const isDirect = this.pathTracker.isDirectPathAvailable(this.clock.now());
    if (isDirect || peers.length === 0) {
      const directTimeout =
        peers.length > 0
          ? Math.min(timeout, DIRECT_APPEND_TIMEOUT_MS)
          : timeout;
      const startedAt = this.clock.now();
      const outcome = await this.appendDirectly(call, directTimeout);
      if (!outcome) {
        const remaining = Math.max(1, deadline - this.clock.now());
        const repeated = await this.appendOnAnyPath(call, remaining);
        return combineOutcomes(LOST_APPEND, repeated);
      }
      this.trackDirectOutcome(outcome, startedAt);
      if (isConclusive(outcome)) {
        return outcome;
      }
      failure = outcome;
    }
    for (const peer of peers) {
      const remaining = Math.min(PEER_TIMEOUT_MS, deadline - this.clock.now());
      if (remaining <= 0) {
        break;
      }
      const outcome = await this.peerClient.append(
        peer,
        this.name,
        call,
        remaining,
      );
      if (isConclusive(outcome)) {
        this.pathTracker.onPeerResponse(peer);
        return outcome;
      }
      this.pathTracker.onPeerFailure(peer, outcome.problem, this.clock.now());
      failure = combineOutcomes(failure, outcome);
    }
    return failure ?? {kind: 'refused', problem: 'timed out before any call'};
  }

  /** Appends on the direct path. Returns undefined if the append was lost in an outage: the log responds to a later call, but not to this one. */
  private async appendDirectly(
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome | undefined> {
    const done = new AbortController();
    const append = appendTo(this.direct, call, timeout);
    try {
      return await Promise.race([
        append,
        this.waitUntilLost(
          LOST_APPEND_FACTOR,
          LOST_APPEND_MARGIN_MS,
          done.signal,
        ),
      ]);
    } finally {
      done.abort();
    }
  }

  /** Resolves when a call that begins now counts as lost: the log responds to a probe, but not to this call. Aborting `signal` ends the wait without resolving. */
  private async waitUntilLost(
    factor: number,
    margin: Milliseconds,
    signal: AbortSignal,
  ): Promise<undefined> {
    const startedAt = this.clock.now();
    for (;;) {
      const responseTime = await this.pathTracker.waitForRecovery(signal);
      const age = this.clock.now() - startedAt;
      const maxAge = factor * responseTime + margin;
      // A response that waited for records says nothing of the time that a call takes.
      if (maxAge < Infinity) {
        await this.clock.sleep(Math.max(0, maxAge - age), signal);
        return undefined;
      }
    }
  }

  /** Resolves when the log responds again after direct calls failed; aborting `signal` ends the wait without resolving. */
  async waitForRecovery(signal: AbortSignal): Promise<void> {
    await this.pathTracker.waitForRecovery(signal);
  }

  /** Reports the outcome of a direct append to the path tracker. */
  private trackDirectOutcome(
    outcome: FencedAppendOutcome,
    startedAt: Instant,
  ): void {
    if (isConclusive(outcome)) {
      this.pathTracker.onDirectResponse();
    } else {
      const now = this.clock.now();
      this.pathTracker.onDirectFailure(outcome.problem, startedAt, now);
    }
  }

  /** Reads on any path, and anew as soon as the log responds after an outage, since a read that began before may wait for its timeout. */
  private async read<Page extends object>(
    readDirectly: () => Promise<Page>,
    readThroughPeer: (peer: PeerEntry) => Promise<Page>,
  ): Promise<Page> {
    for (;;) {
      const done = new AbortController();
      let hasResponse = false;
      const attempt = this.readOnAnyPath(async () => {
        const page = await readDirectly();
        hasResponse = true;
        return page;
      }, readThroughPeer);
      const lost = this.waitUntilLost(
        LOST_READ_FACTOR,
        LOST_READ_MARGIN_MS,
        done.signal,
      ).then(() => (hasResponse ? attempt : undefined));
      try {
        const page = await Promise.race([attempt, lost]);
        if (page) {
          return page;
        }
      } finally {
        done.abort();
        attempt.catch(() => undefined);
      }
    }
  }

  /** Reads directly unless that failed recently, then through peers. Throws the error of the last path that was tried. */
  private async readOnAnyPath<Page>(
    readDirectly: () => Promise<Page>,
    readThroughPeer: (peer: PeerEntry) => Promise<Page>,
  ): Promise<Page> {
    const peers = this.pathTracker.choosePeers(this.clock.now());
    let lastError: unknown;
    if (
      this.pathTracker.isDirectPathAvailable(this.clock.now()) ||
      peers.length === 0
    ) {
      const startedAt = this.clock.now();
      try {
        const page = await readDirectly();
        this.pathTracker.onDirectResponse();
        return page;
      } catch (error) {
        const now = this.clock.now();
        this.pathTracker.onDirectFailure(describeError(error), startedAt, now);
        lastError = error;
      }
    }
    for (const peer of peers) {
      try {
        const page = await readThroughPeer(peer);
        this.pathTracker.onPeerResponse(peer);
        return page;
      } catch (error) {
        this.pathTracker.onPeerFailure(
          peer,
          describeError(error),
          this.clock.now(),
        );
        lastError = error;
      }
    }
    throw lastError;
  }

  /** Reads directly. Rejects if another direct call fails in the meantime, or if a peer reads records that the direct read did not return. */
  private async readTailDirectly(
    offset: number,
    wait: Milliseconds,
  ): Promise<TailPage> {
    const done = new AbortController();
    const directRead = this.direct.readTail(offset, wait);
    const callFailure = this.pathTracker
      .waitForDirectFailure(done.signal)
      .then(() =>
        Promise.reject(
          new Error('another direct call to the log failed during the read'),
        ),
      );
    const peerAhead = this.rejectIfPeerIsAhead(offset, wait, done.signal);
    try {
      return await Promise.race([directRead, callFailure, peerAhead]);
    } finally {
      done.abort();
      // Ignores the rejections of the promises that lost the race.
      for (const promise of [directRead, callFailure, peerAhead]) {
        promise.catch(() => undefined);
      }
    }
  }

  /** Rejects if a peer reads records that a direct read should have returned by then; never resolves. */
  private async rejectIfPeerIsAhead(
    offset: number,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<never> {
    if (this.hasHeartbeats && wait > PEER_COMPARISON_DELAY_MS) {
      await this.clock.sleep(PEER_COMPARISON_DELAY_MS, signal);
      if (!signal.aborted && (await this.isPeerAhead(offset))) {
        throw new Error(
          'a peer reads records that the direct read did not return',
        );
      }
    }
    return new Promise(() => undefined);
  }

  /** Returns whether a peer reads records from `offset` on. */
  private async isPeerAhead(offset: number): Promise<boolean> {
    const peer = this.pathTracker.choosePeers(this.clock.now())[0];
    if (!peer) {
      return false;
    }
    try {
      const page = await this.peerClient.readTail(
        peer,
        this.name,
        offset,
        0,
        PEER_TIMEOUT_MS,
      );
      return page.kind === 'expired' || page.records.length > 0;
    } catch (error) {
      // The peer did not return records, which proves nothing about the direct path,
      // so the direct read that is in progress is not abandoned.
      this.pathTracker.onPeerFailure(
        peer,
        describeError(error),
        this.clock.now(),
      );
      return false;
    }
  }
}

/** Returns whether an outcome is conclusive, so that no other path needs to be tried. */
function isConclusive(
  outcome: FencedAppendOutcome,
): outcome is Extract<
  FencedAppendOutcome,
  {kind: 'appended' | 'fenced' | 'moved'}
> {
  return outcome.kind !== 'refused' && outcome.kind !== 'unknown';
}

/** Outcome of an append that was lost in an outage; it may still be executed. */
const LOST_APPEND: FencedAppendOutcome = {
  kind: 'unknown',
  problem: 'the log responded to a later call, but not to this one',
};

/** Combines the outcomes of two attempts: an append counts as refused only if neither attempt can have carried it out. */
function combineOutcomes(
  previous: FencedAppendOutcome | undefined,
  latest: FencedAppendOutcome,
): FencedAppendOutcome {
  const isUncertain = previous?.kind === 'unknown' && !isConclusive(latest);
  return isUncertain ? previous : latest;
}
