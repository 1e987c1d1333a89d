/**
 * Clock abstraction. Decision functions take `now` as an argument; only the
 * outer loops of a process read a clock.
 */

/** Monotonic time in milliseconds since an arbitrary local origin; not comparable between machines. */
export type Instant = number;

/** Duration in milliseconds. */
export type Milliseconds = number;

/** Source of the current time and of delays. */
export interface Clock {
  /** Returns monotonic local time, for deadlines, leases and freshness. */
  now(): Instant;
  /** Returns wall-clock time in milliseconds since the Unix epoch, for records and display. */
  wallTime(): number;
  /** Resolves after `duration` milliseconds, or as soon as `signal` aborts. */
  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;
}

/** Clock of the operating system. */
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

/** Call of `sleep` that has not resolved. */
interface PendingSleep {
  dueAt: Instant;
  finish: () => void;
}

/** Clock for tests; time advances only on calls of `advance`. */
export class ManualClock implements Clock {
  private current: Instant;
  private pendingSleeps: PendingSleep[] = [];

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
      const onAbort = () => this.wake(pendingSleep);
      const finish = () => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      };
      const pendingSleep: PendingSleep = {
        dueAt: this.current + duration,
        finish,
      };
      this.pendingSleeps.push(pendingSleep);
      signal?.addEventListener('abort', onAbort, {once: true});
    });
  }

  /** Advances time by `duration` and resolves the sleeps that are due, earliest first. */
  async advance(duration: Milliseconds): Promise<void> {
    const end = this.current + duration;
    // Code that was resumed by other means may be about to call `sleep`.
    await yieldToPromises();
    for (;;) {
      const next = this.findNextDue(end);
      if (!next) {
        break;
      }
      this.current = Math.max(this.current, next.dueAt);
      this.wake(next);
      await yieldToPromises();
    }
    this.current = end;
    await yieldToPromises();
  }

  private findNextDue(end: Instant): PendingSleep | undefined {
    const due = this.pendingSleeps.filter(
      pendingSleep => pendingSleep.dueAt <= end,
    );
    due.sort((a, b) => a.dueAt - b.dueAt);
    return due[0];
  }

  private wake(pendingSleep: PendingSleep): void {
    this.pendingSleeps = this.pendingSleeps.filter(
      other => other !== pendingSleep,
    );
    pendingSleep.finish();
  }
}

/** Lets pending promise callbacks run. */
function yieldToPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
