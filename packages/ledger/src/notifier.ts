/** Wakes loops that wait for a time or an event, whichever comes first. */
import type {Clock, Milliseconds} from '@galenavalve/shared';

/** An event that loops wait for. */
export class Notifier {
  private readonly waiting = new Set<AbortController>();
  private isRaised = false;

  /** Wakes every waiter, or the next one when none waits. */
  notify(): void {
    if (this.waiting.size === 0) {
      this.isRaised = true;
      return;
    }
    for (const controller of [...this.waiting]) {
      controller.abort();
    }
  }

  /** Resolves when notified, after `duration`, or when `signal` aborts. */
  async wait(
    clock: Clock,
    duration: Milliseconds,
    signal?: AbortSignal,
  ): Promise<void> {
    if (this.isRaised || signal?.aborted) {
      this.isRaised = false;
      return;
    }
    const controller = new AbortController();
    const stop = () => controller.abort();
    signal?.addEventListener('abort', stop, {once: true});
    this.waiting.add(controller);
    await clock.sleep(duration, controller.signal);
    this.waiting.delete(controller);
    signal?.removeEventListener('abort', stop);
  }
}
