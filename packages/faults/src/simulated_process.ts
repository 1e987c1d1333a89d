/** Simulated process that can be paused and killed independently of the others. */
import type {Log, LogPage, ReadOptions} from '@galenavalve/ledger';
import {
  type Clock,
  Failure,
  type Instant,
  type Milliseconds,
} from '@galenavalve/shared';
import type {TargetClient} from '@galenavalve/targets';

const NEVER_SETTLES = new Promise<never>(() => {});

/** Run state of one process, and its access to the clock, the log and the targets. */
export class SimulatedProcess {
  /** Whether the process was killed; its pending calls then never settle. */
  isDead = false;
  /** Whether its requests to the log time out without reaching it. */
  isDisconnectedFromLog = false;
  private pausedUntil: Instant = -Infinity;
  private pausedSince: Instant = -Infinity;

  constructor(private readonly base: Clock) {}

  /** Pauses the process, as a suspended machine would. */
  pause(durationMs: Milliseconds): void {
    this.pausedSince = this.base.now();
    this.pausedUntil = this.pausedSince + durationMs;
  }

  /** Returns for how long the process has been paused at `now`; 0 when it runs. */
  getPauseDuration(now: Instant): Milliseconds {
    return now < this.pausedUntil ? now - this.pausedSince : 0;
  }

  /** Resolves as soon as the process is not paused; never settles once it is dead. */
  async waitUntilRunning(): Promise<void> {
    while (!this.isDead && this.base.now() < this.pausedUntil) {
      await this.base.sleep(this.pausedUntil - this.base.now());
    }
    return this.isDead ? NEVER_SETTLES : undefined;
  }

  /** Returns the result of `call`, delayed until the process runs. */
  async receive<T>(call: Promise<T>): Promise<T> {
    try {
      return await call;
    } finally {
      await this.waitUntilRunning();
    }
  }

  /** Creates the clock of this process, whose sleeps end only while it runs. */
  createClock(): Clock {
    const {base} = this;
    return {
      now: () => base.now(),
      wallTime: () => base.wallTime(),
      sleep: (duration, signal) => this.receive(base.sleep(duration, signal)),
    };
  }

  /** Creates this process's access to `log`. */
  createLog(log: Log): Log {
    return {
      append: (values, timeout) =>
        this.receive(
          this.isDisconnectedFromLog
            ? this.timeOutAppend(timeout)
            : log.append(values, timeout),
        ),
      read: (offset, options) =>
        this.receive(
          this.isDisconnectedFromLog
            ? this.timeOutRead(offset, options)
            : log.read(offset, options),
        ),
    };
  }

  /** Creates this process's access to the targets. */
  createTargetClient(client: TargetClient): TargetClient {
    return {
      reserve: (...args) => this.receive(client.reserve(...args)),
      start: (...args) => this.receive(client.start(...args)),
      stop: (...args) => this.receive(client.stop(...args)),
      renew: (...args) => this.receive(client.renew(...args)),
      fence: (...args) => this.receive(client.fence(...args)),
      throttle: (...args) => this.receive(client.throttle(...args)),
    };
  }

  private async timeOutAppend(timeoutMs: Milliseconds): Promise<never> {
    await this.base.sleep(timeoutMs);
    throw new Failure('append-uncertain', {problem: 'timeout'});
  }

  private async timeOutRead(
    offset: number,
    options: ReadOptions,
  ): Promise<LogPage> {
    await this.base.sleep(options.timeout);
    throw new Failure('read-failed', {offset, problem: 'timeout'});
  }
}
