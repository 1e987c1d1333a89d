/**
 * Hands the folded state to an instance that starts while the log's records
 * or snapshots cannot be read. The state goes in chunks under one hash.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {
  Failure,
  type Instant,
  type Milliseconds,
  hashText,
} from '@galenavalve/shared';
import {
  type PeerCall,
  type RecordSource,
  findFarthest,
  parseAnswer,
} from './record_relay.js';

/** Methods of the peer protocol for a transfer. */
export const STATE_OPEN_METHOD = 'state-open';
export const STATE_CHUNK_METHOD = 'state-chunk';

/** Characters of one chunk; well under the largest frame also as UTF-8. */
export const CHUNK_CHARACTERS = 131_072;

/** Time after its last use at which a transfer is dropped. */
export const TRANSFER_TTL_MS: Milliseconds = 30_000;

/** An encoded state, as the ledger writes it. */
export interface EncodedState {
  /** The state holds the effect of every record before this offset. */
  nextOffset: number;
  text: string;
}

/** What a transfer will bring. */
export const transferOffer = z.strictObject({
  transferId: z.string().min(1).max(100),
  nextOffset: z.int().nonnegative(),
  chunks: z.int().positive().max(100_000),
  hash: z.string().max(100),
});
export type TransferOffer = z.infer<typeof transferOffer>;

/** Asks for one chunk. */
export const chunkRequest = z.strictObject({
  transferId: z.string().min(1).max(100),
  index: z.int().nonnegative(),
});
export type ChunkRequest = z.infer<typeof chunkRequest>;

const chunkAnswer = z.string().max(CHUNK_CHARACTERS);

/** A body without fields. */
export const emptyBody = z.strictObject({});

interface Transfer {
  offer: TransferOffer;
  text: string;
  usedAt: Instant;
}

/** Serves one state at a time, so that memory holds one copy however many ask. */
export class StateServer {
  private transfer: Transfer | undefined;

  constructor(private readonly encode: () => EncodedState) {}

  /** Offers the present state, or the one that is already being fetched. */
  open(now: Instant): TransferOffer {
    this.dropUnused(now);
    this.transfer ??= this.create(now);
    this.transfer.usedAt = now;
    return this.transfer.offer;
  }

  /** One chunk of an offered state. Throws `not-found` once the offer is dropped. */
  chunk({transferId, index}: ChunkRequest, now: Instant): string {
    const {transfer} = this;
    if (transfer?.offer.transferId !== transferId) {
      throw new Failure('not-found', {kind: 'state transfer', id: transferId});
    }
    transfer.usedAt = now;
    const start = index * CHUNK_CHARACTERS;
    return transfer.text.slice(start, start + CHUNK_CHARACTERS);
  }

  /** Frees the memory of an offer that nobody fetches; the owner calls it now and then. */
  dropUnused(now: Instant): void {
    if (this.transfer && now - this.transfer.usedAt > TRANSFER_TTL_MS) {
      this.transfer = undefined;
    }
  }

  private create(now: Instant): Transfer {
    const {nextOffset, text} = this.encode();
    const offer = {
      transferId: randomUUID(),
      nextOffset,
      chunks: Math.max(1, Math.ceil(text.length / CHUNK_CHARACTERS)),
      hash: hashText(text),
    };
    return {offer, text, usedAt: now};
  }
}

/**
 * Fetches the state of the source that is farthest ahead, or of the next one
 * when it fails. Throws the last failure, or `peer-unavailable` when there is
 * no source.
 */
export async function fetchState(
  sources: readonly RecordSource[],
  call: PeerCall,
  timeoutMs: Milliseconds,
): Promise<EncodedState> {
  const waiting = [...sources];
  let failure: unknown = new Failure('peer-unavailable', {
    peer: 'any',
    problem: 'no peer has a state',
  });
  for (
    let source = findFarthest(waiting);
    source;
    source = findFarthest(waiting)
  ) {
    waiting.splice(waiting.indexOf(source), 1);
    try {
      return await fetchFrom(source.instance, call, timeoutMs);
    } catch (error) {
      failure = error;
    }
  }
  throw failure;
}

async function fetchFrom(
  instance: string,
  call: PeerCall,
  timeoutMs: Milliseconds,
): Promise<EncodedState> {
  const answer = await call(instance, STATE_OPEN_METHOD, {}, timeoutMs);
  const offer = parseAnswer(transferOffer, answer, instance);
  const {transferId, nextOffset, chunks, hash} = offer;
  const parts: string[] = [];
  for (let index = 0; index < chunks; index++) {
    const request: ChunkRequest = {transferId, index};
    const part = await call(instance, STATE_CHUNK_METHOD, request, timeoutMs);
    parts.push(parseAnswer(chunkAnswer, part, instance));
  }
  const text = parts.join('');
  if (hashText(text) !== hash) {
    const problem = 'its state does not match the hash';
    throw new Failure('peer-unavailable', {peer: instance, problem});
  }
  return {nextOffset, text};
}
