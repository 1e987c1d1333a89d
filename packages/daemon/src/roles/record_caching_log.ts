/** Notes what is read of the log, so that it can be relayed to peers. */
import type {
  AppendReceipt,
  Log,
  LogPage,
  ReadOptions,
} from '@galenavalve/ledger';
import type {RecordCache} from '@galenavalve/membership';
import type {Milliseconds} from '@galenavalve/shared';

/** A log whose reads are kept in a relay. */
export class RecordCachingLog implements Log {
  constructor(
    private readonly log: Log,
    private readonly relay: RecordCache,
  ) {}

  append(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt> {
    return this.log.append(values, timeout);
  }

  async read(offset: number, options: ReadOptions): Promise<LogPage> {
    const page = await this.log.read(offset, options);
    this.relay.add(page.entries, page.nextOffset);
    return page;
  }
}
