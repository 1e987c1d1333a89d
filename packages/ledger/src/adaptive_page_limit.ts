/**
 * Adapts the number of entries that a read requests, so that a page of large
 * entries fits in memory.
 */
import type {LogEntry} from './log.js';

/** Largest size of a page, as JSON. */
const MAX_PAGE_BYTES = 2 * 1024 * 1024;

/** Largest number of entries of a page whose size is measured. */
const MAX_SAMPLED_ENTRIES = 8;

const MIN_LIMIT_ENTRIES = 8;

/** Computes the limit of the next page from the entry sizes of the previous ones. */
export class AdaptivePageLimit {
  private currentLimit: number;

  constructor(private readonly maxLimit: number) {
    this.currentLimit = maxLimit;
  }

  /** Largest number of entries to request. */
  get limit(): number {
    return this.currentLimit;
  }

  /** Updates the limit from the entry sizes of a page. */
  observe(entries: readonly LogEntry[]): void {
    if (entries.length === 0) {
      return;
    }
    const stride = Math.ceil(entries.length / MAX_SAMPLED_ENTRIES);
    const sample = entries.filter((_, i) => i % stride === 0);
    const bytes = sample.reduce(
      (sum, {value}) => sum + JSON.stringify(value).length,
      0,
    );
    const fittingEntries = Math.floor((MAX_PAGE_BYTES * sample.length) / bytes);
    const limit = Math.max(MIN_LIMIT_ENTRIES, fittingEntries);
    // At most doubles per page, since the sample may miss large entries.
    this.currentLimit = Math.min(limit, this.currentLimit * 2, this.maxLimit);
  }
}
