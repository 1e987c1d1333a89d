/** Power of an emulated instance: once it is off, nothing it waits for comes back. */
import type {Clock, Instant, Milliseconds} from '@galenavalve/shared';

/** Whether an instance is alive, or frozen for a while. */
export class EmulatedProcess {
  isRunning = true;

  /** `part` as the instance sees it: its promises never settle once the power is off. */
  wrap<T extends object>(part: T): T {
    return new Proxy(part, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name);
        if (typeof value !== 'function') {
          return value;
        }
        return (...args: unknown[]) =>
          this.isRunning ? this.wait(value.apply(target, args)) : never();
      },
    });
  }

  private wait(result: unknown): unknown {
    if (!(result instanceof Promise)) {
      return result;
    }
    return result.then(
      value => (this.isRunning ? value : never()),
      error => {
        if (this.isRunning) {
          throw error;
        }
        return never();
      },
    );
  }
}

/** The clock of one instance: steady time starts at its own origin, and sleeps end with its power. */
export class InstanceClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly power: EmulatedProcess,
    /** What its wall clock shows beyond the true time, in milliseconds. */
    public wallOffset: Milliseconds = 0,
  ) {}

  now(): Instant {
    return this.clock.now();
  }

  wallTime(): number {
    return this.clock.wallTime() + this.wallOffset;
  }

  async sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(duration, signal);
    if (!this.power.isRunning) {
      await never();
    }
  }
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}
