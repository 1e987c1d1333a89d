/** How many entries a read asks for, so that a page of large ones fits in memory. */
import type {LogEntry} from './log.js';

/** Bytes that a page should have at most, as JSON. */
const PAGE_BYTES = 2 * 1024 * 1024;

/** Entries of a page that are measured. */
const SAMPLES = 8;

const MIN_LIMIT = 8;

/** Follows the size of the entries from page to page. */
export class AdaptivePageLimit {
  private current: number;

  constructor(private readonly maxLimit: number) {
    this.current = maxLimit;
  }

  /** Most entries to ask for. */
  get limit(): number {
    return this.current;
  }

  /** Learns from a page. */
  observe(entries: readonly LogEntry[]): void {
    if (entries.length === 0) {
      return;
    }
    const step = Math.ceil(entries.length / SAMPLES);
    const sample = entries.filter((_, i) => i % step === 0);
    const bytes = sample.reduce(
      (sum, {value}) => sum + JSON.stringify(value).length,
      0,
    );
    const fitting = Math.floor((PAGE_BYTES * sample.length) / bytes);
    const limit = Math.max(MIN_LIMIT, fitting);
    // Rises slowly, since a sample may miss large entries.
    this.current = Math.min(limit, this.current * 2, this.maxLimit);
  }
}
