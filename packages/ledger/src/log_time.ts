/**
 * Log time: a time that every instance derives identically from the records of
 * the log. It determines which items have expired. One writer with a wrong
 * clock cannot change it.
 */

/** Number of latest records whose times are used. */
const MAX_SAMPLES = 32;

/** The writer of a record, and its wall-clock time in milliseconds since the Unix epoch. */
export interface TimeSample {
  by: string;
  at: number;
}

/**
 * Computes log time: the lower median of the latest time of each writer among
 * the latest records. It never decreases.
 */
export class LogTime {
  private samples: TimeSample[] = [];
  private currentMs = 0;

  /** Milliseconds since the Unix epoch; 0 before the first record. */
  get value(): number {
    return this.currentMs;
  }

  /** Updates log time from a record. */
  observe(by: string, at: number): void {
    this.samples.push({by, at});
    if (this.samples.length > MAX_SAMPLES) {
      this.samples.shift();
    }
    if (at > this.currentMs) {
      this.currentMs = Math.max(this.currentMs, this.computeMedian());
    }
  }

  /** Returns the state, for a snapshot. */
  encode(): {value: number; samples: TimeSample[]} {
    return {value: this.currentMs, samples: this.samples};
  }

  /** Sets the state from a snapshot. */
  restore(encoded: {value: number; samples: TimeSample[]}): void {
    this.currentMs = encoded.value;
    this.samples = [...encoded.samples];
  }

  private computeMedian(): number {
    const latestByWriter = new Map<string, number>();
    for (const {by, at} of this.samples) {
      latestByWriter.set(by, at);
    }
    const times = [...latestByWriter.values()].sort((a, b) => a - b);
    return times[Math.floor((times.length - 1) / 2)] ?? 0;
  }
}
