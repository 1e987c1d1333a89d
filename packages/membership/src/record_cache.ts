/**
 * Relays records of the log to an instance that is cut off from it.
 *
 * The relayed records are copies with their offsets, so the order of the log
 * still decides; a relay only shortens the way.
 */
import {z} from 'zod';
import {Failure, type Milliseconds} from '@galenavalve/shared';

/** Method of the peer protocol that serves records. */
export const RECORDS_METHOD = 'records-since';

/** A record as it stands in the log. */
export const relayedEntry = z.strictObject({
  offset: z.int().nonnegative(),
  value: z.unknown(),
});
export type RelayedEntry = z.infer<typeof relayedEntry>;

/** Asks for the records from an offset on. */
export const recordsRequest = z.strictObject({
  from: z.int().nonnegative(),
});
export type RecordsRequest = z.infer<typeof recordsRequest>;

/** Records in their order, without gaps. */
export const recordsPage = z.strictObject({
  entries: z.array(relayedEntry).max(10_000),
  /** Offset after the last of them. */
  nextOffset: z.int().nonnegative(),
});
export type RecordsPage = z.infer<typeof recordsPage>;

/** Most bytes of JSON of one page; well under the largest frame. */
export const MAX_PAGE_BYTES = 262_144;

/** Limits of the ring of recent records. */
export interface RecordCacheOptions {
  maxEntries: number;
  /** Most bytes of JSON of the records that are kept. */
  maxBytes: number;
}

const DEFAULT_OPTIONS: RecordCacheOptions = {
  maxEntries: 4096,
  maxBytes: 4_194_304,
};

interface KeptEntry extends RelayedEntry {
  bytes: number;
}

/** Keeps the latest records of the log and serves them to peers. */
export class RecordCache {
  private readonly options: RecordCacheOptions;
  private kept: KeptEntry[] = [];
  private bytes = 0;
  /** Offset from which every record is kept. */
  private firstOffset: number | undefined;
  private nextOffset = 0;

  constructor(options: Partial<RecordCacheOptions> = {}) {
    this.options = {...DEFAULT_OPTIONS, ...options};
  }

  /** Notes records that were read, without gaps, up to `nextOffset`. A gap to earlier ones drops those. */
  add(entries: readonly RelayedEntry[], nextOffset: number): void {
    const first = entries[0]?.offset ?? nextOffset;
    if (this.firstOffset === undefined || first > this.nextOffset) {
      this.clear(first);
    }
    for (const entry of entries) {
      if (entry.offset >= this.nextOffset) {
        this.keep(entry);
      }
    }
    this.nextOffset = Math.max(this.nextOffset, nextOffset);
    this.trim();
  }

  /** The records from `from` on, as many as fit. Throws `offset-expired` when they are no longer kept. */
  readPage({from}: RecordsRequest): RecordsPage {
    const oldest = this.firstOffset ?? this.nextOffset;
    if (from < oldest) {
      throw new Failure('offset-expired', {offset: from, oldest});
    }
    const entries: RelayedEntry[] = [];
    let bytes = 0;
    for (let index = this.indexOf(from); index < this.kept.length; index++) {
      const {offset, value, bytes: size} = this.kept[index]!;
      if (entries.length > 0 && bytes + size > MAX_PAGE_BYTES) {
        return {entries, nextOffset: offset};
      }
      entries.push({offset, value});
      bytes += size;
    }
    return {entries, nextOffset: Math.max(from, this.nextOffset)};
  }

  private clear(firstOffset: number): void {
    this.kept = [];
    this.bytes = 0;
    this.firstOffset = firstOffset;
    this.nextOffset = firstOffset;
  }

  private keep({offset, value}: RelayedEntry): void {
    const bytes = JSON.stringify(value)?.length ?? 0;
    this.kept.push({offset, value, bytes});
    this.bytes += bytes;
    this.nextOffset = offset + 1;
  }

  private trim(): void {
    const {maxEntries, maxBytes} = this.options;
    let dropped = 0;
    while (
      dropped < this.kept.length &&
      (this.kept.length - dropped > maxEntries || this.bytes > maxBytes)
    ) {
      this.bytes -= this.kept[dropped]!.bytes;
      this.firstOffset = this.kept[dropped]!.offset + 1;
      dropped += 1;
    }
    this.kept.splice(0, dropped);
  }

  private indexOf(offset: number): number {
    let low = 0;
    let high = this.kept.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.kept[middle]!.offset < offset) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

/** Asks one peer to run a method. */
export type PeerCall = (
  instance: string,
  method: string,
  body: unknown,
  timeoutMs: Milliseconds,
) => Promise<unknown>;

/** A peer that records or a state can be fetched from. */
export interface RecordSource {
  instance: string;
  /** Offset up to which it has read the log. */
  offset: number;
}

/**
 * Fetches one page of records from the source that is farthest ahead.
 * Undefined when none is ahead of `from`. Throws what the call throws, and
 * `offset-expired` when the source no longer keeps the records.
 */
export async function pullRecords(
  from: number,
  sources: readonly RecordSource[],
  call: PeerCall,
  timeoutMs: Milliseconds,
): Promise<RecordsPage | undefined> {
  const source = findMostAdvanced(sources);
  if (!source || source.offset <= from) {
    return undefined;
  }
  const request: RecordsRequest = {from};
  const {instance} = source;
  const answer = await call(instance, RECORDS_METHOD, request, timeoutMs);
  return parseResponse(recordsPage, answer, instance);
}

/** The source with the highest offset. */
export function findMostAdvanced<Source extends RecordSource>(
  sources: readonly Source[],
): Source | undefined {
  return sources.reduce<Source | undefined>(
    (best, source) => (best && best.offset >= source.offset ? best : source),
    undefined,
  );
}

/** Checks a peer's answer. Throws `peer-unavailable` when it has another form. */
export function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  answer: unknown,
  peer: string,
): z.output<Schema> {
  const parsed = schema.safeParse(answer);
  if (!parsed.success) {
    const problem = 'its answer has another form';
    throw new Failure('peer-unavailable', {peer, problem});
  }
  return parsed.data;
}
