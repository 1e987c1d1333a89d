/** Caches the records that are read from the log, so that they can be served to peers. */
import type {
  AppendReceipt,
  Log,
  LogPage,
  ReadOptions,
} from '@galenavalve/ledger';
import type {RecordCache} from '@galenavalve/membership';
import type {Milliseconds} from '@galenavalve/shared';

/** A log that adds the records of every read to a record cache. */
export class RecordCachingLog implements Log {
  constructor(
    private readonly log: Log,
    private readonly recordCache: RecordCache,
  ) {}

  /** Appends to the log unchanged. */
  append(
    values: readonly unknown[],
    timeoutMs: Milliseconds,
  ): Promise<AppendReceipt> {
    return this.log.append(values, timeoutMs);
  }

  /** Reads a page and adds its records to the cache. */
  async read(offset: number, options: ReadOptions): Promise<LogPage> {
    const page = await this.log.read(offset, options);
    this.recordCache.add(page.entries, page.nextOffset);
    return page;
  }
}
