/** A log that is reached through another instance while this one is turned away. */
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

/** A direct append gets this long before a peer is asked, where there is one: a store that is a hundred times slow answers in less. */
const DIRECT_TIME: Milliseconds = 700;

/** Longest wait for a peer's answer beyond the wait asked for: the peer's own call to a slow store takes as long. */
const PEER_TIME: Milliseconds = 700;

/** A direct read that brought nothing for this long is compared with what a peer reads: the holder of the office writes more often. */
const DOUBT_TIME: Milliseconds = 450;

/** One log of one instance. */
export class RelayedLog implements SharedLog {
  constructor(
    private readonly name: string,
    private readonly direct: SharedLog,
    private readonly access: LogPathTracker,
    private readonly port: PeerLogClient,
    private readonly clock: Clock,
    /** Whether the holder of the office writes to it all the time. */
    private readonly isBusy = false,
  ) {}

  async append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<AppendOutcome> {
    return toUnfencedOutcome(await this.appendAnyhow({records}, timeout));
  }

  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    return this.appendAnyhow({records, fencing}, timeout);
  }

  readNewest(after: string | undefined): Promise<NewestPage> {
    return this.read(
      () => this.direct.readNewest(after),
      peer => this.port.readNewest(peer, this.name, after, PEER_TIME),
    );
  }

  async readTail(offset: number, wait: Milliseconds): Promise<TailPage> {
    return this.read(
      () => this.tailDirectly(offset, wait),
      peer => this.port.readTail(peer, this.name, offset, wait, PEER_TIME),
    );
  }

  private async appendAnyhow(
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    const end = this.clock.now() + timeout;
    const peers = this.access.choosePeers(this.clock.now());
    let failure: FencedAppendOutcome | undefined;
    const isDirect = this.access.isDirectPathAvailable(this.clock.now());
    if (isDirect || peers.length === 0) {
      const own = peers.length > 0 ? Math.min(timeout, DIRECT_TIME) : timeout;
      const startedAt = this.clock.now();
      const outcome = await appendTo(this.direct, call, own);
      this.note(outcome, startedAt);
      if (isSettled(outcome)) {
        return outcome;
      }
      failure = outcome;
    }
    for (const peer of peers) {
      const left = Math.min(PEER_TIME, end - this.clock.now());
      if (left <= 0) {
        break;
      }
      const outcome = await this.port.append(peer, this.name, call, left);
      if (isSettled(outcome)) {
        this.access.onPeerAnswer(peer);
        return outcome;
      }
      this.access.onPeerFailure(peer, outcome.problem, this.clock.now());
      failure = combine(failure, outcome);
    }
    return failure ?? {kind: 'refused', problem: 'there was no time to try'};
  }

  private note(outcome: FencedAppendOutcome, startedAt: Instant): void {
    if (isSettled(outcome)) {
      this.access.onDirectAnswer();
    } else {
      const now = this.clock.now();
      this.access.onDirectFailure(outcome.problem, startedAt, now);
    }
  }

  /** Reads directly unless that failed just now, then through peers. Throws what the last way threw. */
  private async read<Page>(
    readDirectly: () => Promise<Page>,
    readThrough: (peer: PeerEntry) => Promise<Page>,
  ): Promise<Page> {
    const peers = this.access.choosePeers(this.clock.now());
    let problem: unknown;
    if (
      this.access.isDirectPathAvailable(this.clock.now()) ||
      peers.length === 0
    ) {
      const startedAt = this.clock.now();
      try {
        const page = await readDirectly();
        this.access.onDirectAnswer();
        return page;
      } catch (error) {
        const now = this.clock.now();
        this.access.onDirectFailure(describeError(error), startedAt, now);
        problem = error;
      }
    }
    for (const peer of peers) {
      try {
        const page = await readThrough(peer);
        this.access.onPeerAnswer(peer);
        return page;
      } catch (error) {
        this.access.onPeerFailure(peer, describeError(error), this.clock.now());
        problem = error;
      }
    }
    throw problem;
  }

  /** A direct read that is given up when another direct call fails, or when a peer reads what it did not bring. */
  private async tailDirectly(
    offset: number,
    wait: Milliseconds,
  ): Promise<TailPage> {
    const done = new AbortController();
    const reading = this.direct.readTail(offset, wait);
    const failed = this.access
      .waitForDirectFailure(done.signal)
      .then(() => Promise.reject(new Error('another call failed meanwhile')));
    const doubted = this.doubt(offset, wait, done.signal);
    try {
      return await Promise.race([reading, failed, doubted]);
    } finally {
      done.abort();
      // Whichever lost the race has nobody to tell.
      for (const loser of [reading, failed, doubted]) {
        loser.catch(() => undefined);
      }
    }
  }

  /** Rejects once a peer has records that a direct read should have brought long ago. */
  private async doubt(
    offset: number,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<never> {
    if (this.isBusy && wait > DOUBT_TIME) {
      await this.clock.sleep(DOUBT_TIME, signal);
      if (!signal.aborted && (await this.hasNewsElsewhere(offset))) {
        throw new Error('a peer reads records that did not come here');
      }
    }
    return new Promise(() => undefined);
  }

  private async hasNewsElsewhere(offset: number): Promise<boolean> {
    const peer = this.access.choosePeers(this.clock.now())[0];
    if (!peer) {
      return false;
    }
    try {
      const page = await this.port.readTail(
        peer,
        this.name,
        offset,
        0,
        PEER_TIME,
      );
      return page.kind === 'expired' || page.records.length > 0;
    } catch (error) {
      // Then the peer is no help either; the direct read goes on.
      this.access.onPeerFailure(peer, describeError(error), this.clock.now());
      return false;
    }
  }
}

/** Whether it is known what became of an append. */
function isSettled(
  outcome: FencedAppendOutcome,
): outcome is Extract<
  FencedAppendOutcome,
  {kind: 'appended' | 'fenced' | 'moved'}
> {
  return outcome.kind !== 'refused' && outcome.kind !== 'unknown';
}

/** Nothing was done only if no try can have done it. */
function combine(
  before: FencedAppendOutcome | undefined,
  last: FencedAppendOutcome,
): FencedAppendOutcome {
  return before?.kind === 'unknown' ? before : last;
}
