/**
 * Time as an interface. Deciding functions take `now` as an argument; only the
 * loops at the edge read a clock.
 */

/** Monotonic milliseconds since an arbitrary local origin. Never compared between machines. */
export type Instant = number;

/** A length of time in milliseconds. */
export type Milliseconds = number;

/** Source of the present time, and of waiting. */
export interface Clock {
  /** Monotonic local time in milliseconds, for deadlines, leases and freshness. */
  now(): Instant;
  /** Wall-clock time in milliseconds since the Unix epoch, for records and people. */
  wallTime(): number;
  /** Resolves after `duration` milliseconds, or earlier when `signal` aborts. */
  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. */
export class SystemClock implements Clock {
  now(): Instant {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, duration);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

interface Sleeper {
  wakeAt: Instant;
  finish: () => void;
}

/** A clock for tests: time moves only when `advance` is called. */
export class ManualClock implements Clock {
  private current: Instant;
  private sleepers: Sleeper[] = [];

  constructor(start: Instant = 0) {
    this.current = start;
  }

  now(): Instant {
    return this.current;
  }

  wallTime(): number {
    return this.current;
  }

  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onAbort = () => this.wake(sleeper);
      const finish = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const sleeper: Sleeper = {wakeAt: this.current + duration, finish};
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', onAbort, {once: true});
    });
  }

  /** Moves time forward by `duration` and wakes the sleepers that are due, earliest first. */
  async advance(duration: Milliseconds): Promise<void> {
    const end = this.current + duration;
    // What was just woken by other means may still be about to sleep.
    await yieldToPromises();
    for (;;) {
      const next = this.nextDue(end);
      if (!next) {
        break;
      }
      this.current = Math.max(this.current, next.wakeAt);
      this.wake(next);
      await yieldToPromises();
    }
    this.current = end;
    await yieldToPromises();
  }

  private nextDue(end: Instant): Sleeper | undefined {
    const due = this.sleepers.filter(sleeper => sleeper.wakeAt <= end);
    due.sort((a, b) => a.wakeAt - b.wakeAt);
    return due[0];
  }

  private wake(sleeper: Sleeper): void {
    this.sleepers = this.sleepers.filter(other => other !== sleeper);
    sleeper.finish();
  }
}

function yieldToPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
