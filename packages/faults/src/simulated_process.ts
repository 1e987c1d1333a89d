/** One process that can be paused and killed while time goes on for the others. */
import type {Log, LogPage, ReadOptions} from '@galenavalve/ledger';
import {
  type Clock,
  Failure,
  type Instant,
  type Milliseconds,
} from '@galenavalve/shared';
import type {TargetClient} from '@galenavalve/targets';

const NEVER = new Promise<never>(() => {});

/** Whether one process runs, and what it can reach. */
export class SimulatedProcess {
  isDead = false;
  /** Whether its messages to the log, and the answers, are lost. */
  isDisconnectedFromLog = false;
  private pausedUntil: Instant = -Infinity;
  private pausedSince: Instant = -Infinity;

  constructor(private readonly base: Clock) {}

  /** Stops it for a while, as a suspended machine would. */
  pause(duration: Milliseconds): void {
    this.pausedSince = this.base.now();
    this.pausedUntil = this.pausedSince + duration;
  }

  /** Time for which it has been paused now. */
  getPauseDuration(now: Instant): Milliseconds {
    return now < this.pausedUntil ? now - this.pausedSince : 0;
  }

  /** Holds every continuation while the process is paused, and for ever once it is dead. */
  async waitUntilRunning(): Promise<void> {
    while (!this.isDead && this.base.now() < this.pausedUntil) {
      await this.base.sleep(this.pausedUntil - this.base.now());
    }
    return this.isDead ? NEVER : undefined;
  }

  /** The result of a call of this process, once it runs. */
  async receive<T>(call: Promise<T>): Promise<T> {
    try {
      return await call;
    } finally {
      await this.waitUntilRunning();
    }
  }

  /** The clock as the process reads it. */
  createClock(): Clock {
    const {base} = this;
    return {
      now: () => base.now(),
      wallTime: () => base.wallTime(),
      sleep: (duration, signal) => this.receive(base.sleep(duration, signal)),
    };
  }

  /** The log as the process reaches it. */
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

  /** The targets as the process reaches them. */
  createTargetClient(client: TargetClient): TargetClient {
    return {
      reserve: (...call) => this.receive(client.reserve(...call)),
      start: (...call) => this.receive(client.start(...call)),
      stop: (...call) => this.receive(client.stop(...call)),
      renew: (...call) => this.receive(client.renew(...call)),
      fence: (...call) => this.receive(client.fence(...call)),
      throttle: (...call) => this.receive(client.throttle(...call)),
    };
  }

  private async timeOutAppend(timeout: Milliseconds): Promise<never> {
    await this.base.sleep(timeout);
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
