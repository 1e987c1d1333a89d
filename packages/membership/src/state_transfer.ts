/**
 * Transfers the folded state, section by section, to an instance that starts
 * while the records or snapshots of the log cannot be read.
 */
import {z} from 'zod';
import {Failure, type Instant, type Milliseconds} from '@galenavalve/shared';
import {type PeerCall, parseResponse} from './record_cache.js';

/** Method of the peer protocol that opens a state transfer. */
export const STATE_OPEN_METHOD = 'state-open';

/** Method of the peer protocol that reads one section of a state. */
export const STATE_SECTION_METHOD = 'state-section';

/** Time after its last use after which an offered state is dropped. */
export const OFFER_TTL_MS: Milliseconds = 30_000;

/** An encoded state in the format of the ledger's snapshots. */
export interface PeerSnapshot {
  snapshotId: string;
  /** The state includes every record before this offset. */
  nextOffset: number;
  /** Encoded sections, each well below the maximum frame size. */
  sections: string[];
  /** Hash of the state; verified by the reader of the sections. */
  hash: string;
}

/** Schema of a state offer. */
export const stateOffer = z.strictObject({
  snapshotId: z.string().min(1).max(100),
  nextOffset: z.int().nonnegative(),
  sections: z.int().positive().max(100_000),
  hash: z.string().max(100),
});
/** Describes the state that a transfer delivers. */
export type StateOffer = z.infer<typeof stateOffer>;

/** Schema of a request for one section. */
export const sectionRequest = z.strictObject({
  snapshotId: z.string().min(1).max(100),
  index: z.int().nonnegative(),
});
/** Request for one section of a state. */
export type SectionRequest = z.infer<typeof sectionRequest>;

/** Schema of a request body without fields. */
export const emptyBody = z.strictObject({});

interface CachedOffer {
  snapshot: Promise<PeerSnapshot>;
  lastUsedAt: Instant;
}

/** Serves one encoded state at a time, so that memory holds a single copy for any number of clients. */
export class StateServer {
  private offer: CachedOffer | undefined;

  constructor(private readonly encode: () => Promise<PeerSnapshot>) {}

  /** Offers the current state, or the one that is already being transferred. */
  async open(now: Instant): Promise<StateOffer> {
    const {snapshotId, nextOffset, sections, hash} =
      await this.getOrEncodeSnapshot(now);
    return {snapshotId, nextOffset, sections: sections.length, hash};
  }

  /** Returns one section of the offered state. Throws `not-found` when the offer has been dropped. */
  async readSection(
    {snapshotId, index}: SectionRequest,
    now: Instant,
  ): Promise<string> {
    const snapshot = this.offer && (await this.getOrEncodeSnapshot(now));
    const section = snapshot?.sections[index];
    if (snapshot?.snapshotId !== snapshotId || section === undefined) {
      throw new Failure('not-found', {kind: 'state section', id: snapshotId});
    }
    return section;
  }

  /** Drops an offer that has not been used for `OFFER_TTL_MS`, which frees its memory; to be called periodically. */
  dropUnused(now: Instant): void {
    if (this.offer && now - this.offer.lastUsedAt > OFFER_TTL_MS) {
      this.offer = undefined;
    }
  }

  private getOrEncodeSnapshot(now: Instant): Promise<PeerSnapshot> {
    this.dropUnused(now);
    this.offer ??= {snapshot: this.encode(), lastUsedAt: now};
    this.offer.lastUsedAt = now;
    const {offer} = this;
    offer.snapshot.catch(() => {
      if (this.offer === offer) {
        this.offer = undefined;
      }
    });
    return offer.snapshot;
  }
}

/** Fetches the state of one peer for the ledger's restorer. */
export class PeerStateSource {
  constructor(
    /** Instance name of the peer. */
    readonly name: string,
    private readonly call: PeerCall,
    private readonly timeoutMs: Milliseconds,
  ) {}

  /** Returns the offset of the state that the peer offers. Throws the errors of the call. */
  async fetchNextOffset(): Promise<number> {
    return (await this.requestOffer()).nextOffset;
  }

  /** Fetches the whole state. Throws the errors of the calls. */
  async fetchSnapshot(): Promise<PeerSnapshot> {
    const {sections: count, ...offer} = await this.requestOffer();
    const sections: string[] = [];
    for (let index = 0; index < count; index++) {
      const request: SectionRequest = {snapshotId: offer.snapshotId, index};
      const response = await this.callPeer(STATE_SECTION_METHOD, request);
      sections.push(parseResponse(z.string(), response, this.name));
    }
    return {...offer, sections};
  }

  private async requestOffer(): Promise<StateOffer> {
    const response = await this.callPeer(STATE_OPEN_METHOD, {});
    return parseResponse(stateOffer, response, this.name);
  }

  private callPeer(method: string, body: unknown): Promise<unknown> {
    return this.call(this.name, method, body, this.timeoutMs);
  }
}
