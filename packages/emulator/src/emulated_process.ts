/** Emulated process of an instance: after a kill, its pending calls never settle. */
import type {Clock, Instant, Milliseconds} from '@galenavalve/shared';

/** The process of one emulated instance, which can be killed. */
export class EmulatedProcess {
  /** Set to false to kill the process. */
  isRunning = true;

  /** Returns a proxy of `service` whose methods return promises that never settle after a kill. */
  wrap<T extends object>(service: T): T {
    return new Proxy(service, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name);
        if (typeof value !== 'function') {
          return value;
        }
        return (...args: unknown[]) =>
          this.isRunning
            ? this.settleWhileRunning(value.apply(target, args))
            : createPendingPromise();
      },
    });
  }

  private settleWhileRunning(result: unknown): unknown {
    if (!(result instanceof Promise)) {
      return result;
    }
    return result.then(
      value => (this.isRunning ? value : createPendingPromise()),
      error => {
        if (this.isRunning) {
          throw error;
        }
        return createPendingPromise();
      },
    );
  }
}

/** The clock of one instance; its sleeps never resolve after its process is killed. */
export class InstanceClock implements Clock {
  constructor(
    private readonly clock: Clock,
    private readonly process: EmulatedProcess,
    /** Difference between the instance's wall clock and the cluster's, in milliseconds. */
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
    if (!this.process.isRunning) {
      await createPendingPromise();
    }
  }
}

function createPendingPromise(): Promise<never> {
  return new Promise(() => undefined);
}
