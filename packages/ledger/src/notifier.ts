/** Notifies loops that sleep until an event or a timeout, whichever comes first. */
import type {Clock, Milliseconds} from '@galenavalve/shared';

/** An event that loops can wait for. */
export class Notifier {
  private readonly waiters = new Set<AbortController>();
  private hasPendingNotification = false;

  /** Wakes every waiter. If there is none, the next `wait` returns at once. */
  notify(): void {
    if (this.waiters.size === 0) {
      this.hasPendingNotification = true;
      return;
    }
    for (const controller of [...this.waiters]) {
      controller.abort();
    }
  }

  /** Resolves when notified, after `duration` in milliseconds, or when `signal` aborts. */
  async wait(
    clock: Clock,
    duration: Milliseconds,
    signal?: AbortSignal,
  ): Promise<void> {
    if (this.hasPendingNotification || signal?.aborted) {
      this.hasPendingNotification = false;
      return;
    }
    const controller = new AbortController();
    const stop = () => controller.abort();
    signal?.addEventListener('abort', stop, {once: true});
    this.waiters.add(controller);
    await clock.sleep(duration, controller.signal);
    this.waiters.delete(controller);
    signal?.removeEventListener('abort', stop);
  }
}
