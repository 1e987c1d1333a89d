/**
 * Serves cached records of the log to peers that cannot reach the log.
 *
 * Served records keep their offsets, so the order of the log still determines
 * the state.
 */
import {z} from 'zod';
import {Failure, type Milliseconds} from '@galenavalve/shared';

/** Method of the peer protocol that serves records. */
export const RECORDS_METHOD = 'records-since';

/** Schema of a record with its offset. */
export const relayedEntry = z.strictObject({
  offset: z.int().nonnegative(),
  value: z.unknown(),
});
/** A record with its offset in the log. */
export type RelayedEntry = z.infer<typeof relayedEntry>;

/** Schema of a request for the records from an offset on. */
export const recordsRequest = z.strictObject({
  from: z.int().nonnegative(),
});
/** Request for the records from an offset on. */
export type RecordsRequest = z.infer<typeof recordsRequest>;

/** Schema of a page of consecutive records. */
export const recordsPage = z.strictObject({
  entries: z.array(relayedEntry).max(10_000),
  /** Offset after the last record. */
  nextOffset: z.int().nonnegative(),
});
/** A page of consecutive records. */
export type RecordsPage = z.infer<typeof recordsPage>;

/** Maximum size of the records of one page as JSON; well below the maximum frame size. A single larger record gets its own page. */
export const MAX_PAGE_BYTES = 262_144;

/** Limits of the cache. */
export interface RecordCacheOptions {
  maxEntries: number;
  /** Maximum size of the cached records as JSON, in bytes. */
  maxBytes: number;
}

const DEFAULT_CACHE_OPTIONS: RecordCacheOptions = {
  maxEntries: 4096,
  maxBytes: 4_194_304,
};

interface CachedEntry extends RelayedEntry {
  bytes: number;
}

/** Caches the latest records of the log. */
export class RecordCache {
  private readonly options: RecordCacheOptions;
  private cachedEntries: CachedEntry[] = [];
  private cachedBytes = 0;
  /** Offset from which all records are cached; undefined while the cache is unused. */
  private firstOffset: number | undefined;
  private nextOffset = 0;

  constructor(options: Partial<RecordCacheOptions> = {}) {
    this.options = {...DEFAULT_CACHE_OPTIONS, ...options};
  }

  /**
   * Adds the records that a read returned, without gaps, up to `nextOffset`.
   * Clears the cache when there is a gap between them and the cached records.
   */
  add(entries: readonly RelayedEntry[], nextOffset: number): void {
    const first = entries[0]?.offset ?? nextOffset;
    if (this.firstOffset === undefined || first > this.nextOffset) {
      this.clear(first);
    }
    for (const entry of entries) {
      if (entry.offset >= this.nextOffset) {
        this.appendEntry(entry);
      }
    }
    this.nextOffset = Math.max(this.nextOffset, nextOffset);
    this.evictOldest();
  }

  /** Returns the records from `from` on, as many as fit in a page. Throws `offset-expired` when they are no longer cached. */
  readPage({from}: RecordsRequest): RecordsPage {
    const oldest = this.firstOffset ?? this.nextOffset;
    if (from < oldest) {
      throw new Failure('offset-expired', {offset: from, oldest});
    }
    const entries: RelayedEntry[] = [];
    let bytes = 0;
    for (
      let index = this.findIndex(from);
      index < this.cachedEntries.length;
      index++
    ) {
      const {offset, value, bytes: size} = this.cachedEntries[index]!;
      if (entries.length > 0 && bytes + size > MAX_PAGE_BYTES) {
        return {entries, nextOffset: offset};
      }
      entries.push({offset, value});
      bytes += size;
    }
    return {entries, nextOffset: Math.max(from, this.nextOffset)};
  }

  private clear(firstOffset: number): void {
    this.cachedEntries = [];
    this.cachedBytes = 0;
    this.firstOffset = firstOffset;
    this.nextOffset = firstOffset;
  }

  private appendEntry({offset, value}: RelayedEntry): void {
    const bytes = JSON.stringify(value)?.length ?? 0;
    this.cachedEntries.push({offset, value, bytes});
    this.cachedBytes += bytes;
    this.nextOffset = offset + 1;
  }

  private evictOldest(): void {
    const {maxEntries, maxBytes} = this.options;
    let evicted = 0;
    while (
      evicted < this.cachedEntries.length &&
      (this.cachedEntries.length - evicted > maxEntries ||
        this.cachedBytes > maxBytes)
    ) {
      this.cachedBytes -= this.cachedEntries[evicted]!.bytes;
      this.firstOffset = this.cachedEntries[evicted]!.offset + 1;
      evicted += 1;
    }
    this.cachedEntries.splice(0, evicted);
  }

  /** Returns the index of the first cached record at or after `offset`, by binary search. */
  private findIndex(offset: number): number {
    let low = 0;
    let high = this.cachedEntries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.cachedEntries[middle]!.offset < offset) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

/** Calls a method of a peer. */
export type PeerCall = (
  instance: string,
  method: string,
  body: unknown,
  timeoutMs: Milliseconds,
) => Promise<unknown>;

/** A peer from which records can be fetched. */
export interface RecordSource {
  instance: string;
  /** Offset up to which the peer has read the log. */
  offset: number;
}

/**
 * Fetches one page of records from the source with the highest offset. Returns
 * undefined when no source is ahead of `from`. Throws the errors of the call,
 * and `offset-expired` when the source no longer caches the records.
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
  const response = await call(instance, RECORDS_METHOD, request, timeoutMs);
  return parseResponse(recordsPage, response, instance);
}

/** Returns the source with the highest offset. */
export function findMostAdvanced<Source extends RecordSource>(
  sources: readonly Source[],
): Source | undefined {
  return sources.reduce<Source | undefined>(
    (best, source) => (best && best.offset >= source.offset ? best : source),
    undefined,
  );
}

/** Parses a peer's response. Throws `peer-unavailable` when it does not match the schema. */
export function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  response: unknown,
  peer: string,
): z.output<Schema> {
  const parsed = schema.safeParse(response);
  if (!parsed.success) {
    const problem = 'the response does not match the schema';
    throw new Failure('peer-unavailable', {peer, problem});
  }
  return parsed.data;
}
