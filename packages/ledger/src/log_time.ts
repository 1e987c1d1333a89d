/**
 * A time that every instance derives alike from the records of the log, for
 * forgetting. One writer with a wrong clock cannot move it.
 */

/** Latest records whose writers are counted. */
const SAMPLES = 32;

/** One sample: a writer and the time that it gave. */
export interface TimeSample {
  by: string;
  at: number;
}

/**
 * The lower median, over the writers of the latest records, of the latest
 * time that each gave. It never falls.
 */
export class LogTime {
  private samples: TimeSample[] = [];
  private current = 0;

  /** Milliseconds since the Unix epoch; 0 before the first record. */
  get value(): number {
    return this.current;
  }

  /** Counts a record. */
  observe(by: string, at: number): void {
    this.samples.push({by, at});
    if (this.samples.length > SAMPLES) {
      this.samples.shift();
    }
    if (at > this.current) {
      this.current = Math.max(this.current, this.median());
    }
  }

  /** The whole state, for a snapshot. */
  encode(): {value: number; samples: TimeSample[]} {
    return {value: this.current, samples: this.samples};
  }

  /** Takes over the state of a snapshot. */
  restore(encoded: {value: number; samples: TimeSample[]}): void {
    this.current = encoded.value;
    this.samples = [...encoded.samples];
  }

  private median(): number {
    const latest = new Map<string, number>();
    for (const {by, at} of this.samples) {
      latest.set(by, at);
    }
    const times = [...latest.values()].sort((a, b) => a - b);
    return times[Math.floor((times.length - 1) / 2)] ?? 0;
  }
}
