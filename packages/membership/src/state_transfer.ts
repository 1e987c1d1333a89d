/**
 * Hands the folded state to an instance that starts while the log's records
 * or snapshots cannot be read. The state goes section by section.
 */
import {z} from 'zod';
import {Failure, type Instant, type Milliseconds} from '@galenavalve/shared';
import {type PeerCall, parseResponse} from './record_cache.js';

/** Methods of the peer protocol for a transfer. */
export const STATE_OPEN_METHOD = 'state-open';
export const STATE_SECTION_METHOD = 'state-section';

/** Time after its last use at which an offered state is dropped. */
export const OFFER_TTL_MS: Milliseconds = 30_000;

/** An encoded state, in the form of the ledger's snapshots. */
export interface PeerSnapshot {
  snapshotId: string;
  /** The state holds the effect of every record before this offset. */
  nextOffset: number;
  /** Each well under the largest frame. */
  sections: string[];
  /** Checked by the reader of the sections. */
  hash: string;
}

/** What a transfer will bring. */
export const stateOffer = z.strictObject({
  snapshotId: z.string().min(1).max(100),
  nextOffset: z.int().nonnegative(),
  sections: z.int().positive().max(100_000),
  hash: z.string().max(100),
});
export type StateOffer = z.infer<typeof stateOffer>;

/** Asks for one section. */
export const sectionRequest = z.strictObject({
  snapshotId: z.string().min(1).max(100),
  index: z.int().nonnegative(),
});
export type SectionRequest = z.infer<typeof sectionRequest>;

/** A body without fields. */
export const emptyBody = z.strictObject({});

interface Offer {
  snapshot: Promise<PeerSnapshot>;
  usedAt: Instant;
}

/** Serves one state at a time, so that memory holds one copy however many ask. */
export class StateServer {
  private offer: Offer | undefined;

  constructor(private readonly encode: () => Promise<PeerSnapshot>) {}

  /** Offers the present state, or the one that is already being fetched. */
  async open(now: Instant): Promise<StateOffer> {
    const {snapshotId, nextOffset, sections, hash} = await this.use(now);
    return {snapshotId, nextOffset, sections: sections.length, hash};
  }

  /** One section of an offered state. Throws `not-found` once the offer is dropped. */
  async readSection(
    {snapshotId, index}: SectionRequest,
    now: Instant,
  ): Promise<string> {
    const snapshot = this.offer && (await this.use(now));
    const section = snapshot?.sections[index];
    if (snapshot?.snapshotId !== snapshotId || section === undefined) {
      throw new Failure('not-found', {kind: 'state section', id: snapshotId});
    }
    return section;
  }

  /** Frees the memory of an offer that nobody fetches; the owner calls it now and then. */
  dropUnused(now: Instant): void {
    if (this.offer && now - this.offer.usedAt > OFFER_TTL_MS) {
      this.offer = undefined;
    }
  }

  private use(now: Instant): Promise<PeerSnapshot> {
    this.dropUnused(now);
    this.offer ??= {snapshot: this.encode(), usedAt: now};
    this.offer.usedAt = now;
    const {offer} = this;
    offer.snapshot.catch(() => {
      if (this.offer === offer) {
        this.offer = undefined;
      }
    });
    return offer.snapshot;
  }
}

/** The state of one peer, for the ledger's restorer. */
export class PeerStateSource {
  constructor(
    /** Instance of the peer. */
    readonly name: string,
    private readonly call: PeerCall,
    private readonly timeoutMs: Milliseconds,
  ) {}

  /** Offset of the state that the peer offers. Throws what the call throws. */
  async fetchNextOffset(): Promise<number> {
    return (await this.open()).nextOffset;
  }

  /** Fetches the whole state. Throws what the calls throw. */
  async fetchSnapshot(): Promise<PeerSnapshot> {
    const {sections: count, ...offer} = await this.open();
    const sections: string[] = [];
    for (let index = 0; index < count; index++) {
      const request: SectionRequest = {snapshotId: offer.snapshotId, index};
      const answer = await this.ask(STATE_SECTION_METHOD, request);
      sections.push(parseResponse(z.string(), answer, this.name));
    }
    return {...offer, sections};
  }

  private async open(): Promise<StateOffer> {
    const answer = await this.ask(STATE_OPEN_METHOD, {});
    return parseResponse(stateOffer, answer, this.name);
  }

  private ask(method: string, body: unknown): Promise<unknown> {
    return this.call(this.name, method, body, this.timeoutMs);
  }
}
