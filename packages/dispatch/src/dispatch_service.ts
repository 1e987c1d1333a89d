/**
 * Claims leadership when there is no leader, and runs the dispatcher while this
 * instance leads.
 */
import {
  type Instant,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {
  Follower,
  JobEntry,
  JobRecord,
  Leadership,
} from '@galenavalve/workload';
import {
  encodeLeadership,
  parseEarlyCancellationKey,
} from '@galenavalve/workload';
import {Dispatcher, type DispatcherDependencies} from './dispatcher.js';
import type {FencedAppendOutcome} from './fenced_log.js';
import type {IdleCause} from './idle_jobs.js';
import type {ConfirmationTime} from './record_writer.js';
import {
  LeaderMonitor,
  type CandidateRank,
  chooseNextEpoch,
} from './leader_monitor.js';
import type {TargetInfo} from './target_info.js';

/** Timeout of the append of a claim, and of reading it back. */
const CLAIM_TIMEOUT_MS = 1500;

/**
 * Attempts to claim leadership. All but the last require that the log has not
 * grown since it was read.
 */
const MAX_CLAIM_ATTEMPTS = 4;

/** Interval at which a follower checks whether leadership can be claimed. */
const LEADER_CHECK_INTERVAL_MS = 100;

/**
 * Minimum delay between two such checks; the claim delays of consecutive ranks
 * differ by more than ten times as much.
 */
const MIN_LEADER_CHECK_INTERVAL_MS = 5;

/**
 * Number of best-ranked instances that read the log nearly as often as the
 * leader, to detect its failure early.
 */
const STANDBY_RANKS = 3;

/** Read delay of those instances; a fraction of the leader timeout. */
const STANDBY_READ_DELAY_MS = 80;

/**
 * Read delay of the leader. Its own records tell it nothing, and other instances
 * pass accepted jobs on to it.
 */
const LEADER_READ_DELAY_MS = 50;

/**
 * Read delay of all other instances. Queries from callers are not affected:
 * they trigger a read of their own.
 */
const PASSIVE_READ_DELAY_MS = 400;

/** Registry of targets, which is watched only while this instance leads. */
export interface TargetRegistry {
  /**
   * Starts to watch the registry. The callbacks are called for every change
   * until `close`; resolves with the targets that are registered now.
   */
  open(events: {
    onTarget(info: TargetInfo): void;
    onTargetRemoved(id: string): void;
  }): Promise<TargetInfo[]>;
  /** Stops watching. */
  close(): void;
}

/**
 * Competes for leadership on behalf of one instance and dispatches while it
 * leads. `leaderName` identifies the incarnation of the instance: its name, a
 * slash, and parts that differ between incarnations.
 */
export class DispatchService {
  private readonly monitor: LeaderMonitor;
  private dispatcher?: Dispatcher;
  private isClosed = false;

  constructor(
    private readonly dependencies: Omit<
      DispatcherDependencies,
      'onLeadershipLost'
    >,
    private readonly follower: Follower,
    private readonly registry: TargetRegistry,
    private readonly leaderName: string,
    private readonly getCandidateRank: () => CandidateRank,
  ) {
    this.monitor = new LeaderMonitor(
      dependencies.clock.now(),
      dependencies.random,
      getCandidateRank,
    );
  }

  /** Whether this instance dispatches now. */
  get isDispatching(): boolean {
    return this.dispatcher !== undefined && !this.dispatcher.isClosed;
  }

  /** Counts the jobs that could run and have no run, by what keeps them idle; empty unless this instance leads. */
  countIdleJobs(): ReadonlyMap<IdleCause, number> {
    return this.isDispatching ? this.dispatcher!.countIdleJobs() : new Map();
  }

  /**
   * How long to let records of the job log accumulate before the next read.
   * Each read of the log is charged to the system's cost, and the instance's
   * processor is small.
   */
  get readDelay(): Milliseconds {
    if (this.isDispatching) {
      return LEADER_READ_DELAY_MS;
    }
    return this.getCandidateRank().rank < STANDBY_RANKS
      ? STANDBY_READ_DELAY_MS
      : PASSIVE_READ_DELAY_MS;
  }

  /** Claims leadership whenever a claim is due, until closed. */
  async run(): Promise<void> {
    const {clock, logger} = this.dependencies;
    while (!this.isClosed) {
      const timeToClaim = this.monitor.computeTimeToClaim(clock.now());
      await clock.sleep(
        Math.min(
          LEADER_CHECK_INTERVAL_MS,
          Math.max(MIN_LEADER_CHECK_INTERVAL_MS, timeToClaim),
        ),
      );
      const now = clock.now();
      const isIdle = !this.isClosed && !this.isDispatching;
      if (isIdle && this.follower.isCaughtUp && this.monitor.isClaimDue(now)) {
        try {
          await this.claim();
        } catch (error) {
          logger.warn('claim-failed', {problem: describeError(error)});
          this.monitor.onClaimFailed(clock.now());
        }
      }
    }
  }

  /** Resigns and makes no further claims. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.registry.close();
    await this.dispatcher?.resign();
  }

  /** Called for every response of the log. */
  onLogResponse(now: Instant): void {
    this.monitor.onLogResponse(now);
  }

  /** Called for every record of the job log that was applied. */
  onRecord(record: JobRecord, now: Instant): void {
    if (record.kind === 'leadership') {
      this.onLeadership(record.leadership, now);
    } else if (record.kind === 'progress' && this.follower.isCaughtUp) {
      this.monitor.onLeaderRecord(undefined, now);
    } else if (record.kind === 'accepted') {
      const entry = this.dependencies.table.find(record.id);
      if (entry) {
        this.onAccepted(entry);
      }
    } else if (record.kind === 'cancelled') {
      this.dispatcher?.onJobCancelled(record.id);
    } else if (record.kind === 'early-cancellation') {
      this.onEarlyCancellation(parseEarlyCancellationKey(record.key));
    } else if (record.kind === 'completed') {
      this.dispatcher?.onJobCompleted(record.id);
    }
  }

  /** Cancels a job that was accepted meanwhile. */
  private onEarlyCancellation(id: string): void {
    if (this.dependencies.table.find(id)?.isCancelled) {
      this.dispatcher?.onJobCancelled(id);
    }
  }

  private onAccepted(entry: JobEntry): void {
    if (this.isDispatching) {
      this.dispatcher!.onJobAccepted(entry);
    }
  }

  private onLeadership(leadership: Leadership, now: Instant): void {
    const {writtenAt} = leadership;
    if (!this.follower.isCaughtUp && writtenAt !== undefined) {
      const age = this.dependencies.clock.wallTime() - writtenAt;
      const isOwn =
        parseInstanceName(leadership.holder) ===
        parseInstanceName(this.leaderName);
      this.monitor.onInitialLeaderRecord(leadership, age, isOwn, now);
    } else {
      this.monitor.onLeaderRecord(leadership, now);
    }
    const dispatcher = this.dispatcher;
    if (dispatcher && leadership.epoch > dispatcher.epoch) {
      dispatcher.onFenced();
    }
  }

  /**
   * Claims leadership if a claim is still due after the log was read to its
   * end.
   */
  private async claim(): Promise<void> {
    const {log, table, random, clock, logger} = this.dependencies;
    for (let attempt = 1; attempt <= MAX_CLAIM_ATTEMPTS; attempt++) {
      const isCurrent = await this.follower.readToEnd(CLAIM_TIMEOUT_MS);
      const isVacant = this.monitor.isClaimDue(clock.now());
      if (!isCurrent || !isVacant || this.isClosed) {
        logger.info('claim-abandoned', {attempt, isCurrent, isVacant});
        return;
      }
      const leadership: Leadership = {
        epoch: chooseNextEpoch(table.leadership, random),
        holder: this.leaderName,
      };
      logger.info('leadership-claimed', {
        epoch: leadership.epoch,
        before: table.leadership,
        attempt,
      });
      const fencing = {
        epoch: leadership.epoch,
        sequence: 0,
        // A slow log may grow between every read and append.
        endsAt:
          attempt < MAX_CLAIM_ATTEMPTS ? this.follower.nextOffset : undefined,
      };
      const record = encodeLeadership(leadership);
      const claimedAt = {at: clock.now(), wallTime: clock.wallTime()};
      const result = await log.appendFenced(
        fencing,
        [record],
        CLAIM_TIMEOUT_MS,
      );
      if (await this.isClaimed(leadership, result)) {
        await this.dispatch(leadership, claimedAt, clock.now());
        return;
      }
      // Logged when the claim did not make this instance leader.
      logger.info('leadership-not-held', {epoch: leadership.epoch, result});
      if (result.kind !== 'moved') {
        this.monitor.onClaimFailed(clock.now());
        return;
      }
    }
  }

  /**
   * Whether the claim is in the log and the newest. A concurrent claim with the
   * same epoch receives the offset of this claim or of its own, and a
   * repeated claim with `moved`, so only the log itself is conclusive.
   */
  private async isClaimed(
    leadership: Leadership,
    result: FencedAppendOutcome,
  ): Promise<boolean> {
    const isApplied =
      result.kind === 'appended'
        ? await this.follower.waitForOffset(result.offset, CLAIM_TIMEOUT_MS)
        : result.kind === 'moved' &&
          (await this.follower.readToEnd(CLAIM_TIMEOUT_MS));
    const newest = this.dependencies.table.leadership;
    const isOwn =
      newest?.epoch === leadership.epoch && newest.holder === this.leaderName;
    return isApplied && isOwn && !this.isClosed;
  }

  /** `claimedAt` is when the claim was sent; the process may have been paused since. */
  private async dispatch(
    leadership: Leadership,
    claimedAt: ConfirmationTime,
    now: Instant,
  ): Promise<void> {
    const dispatcher = new Dispatcher(
      {...this.dependencies, onLeadershipLost: () => this.registry.close()},
      leadership,
      claimedAt,
      now,
    );
    const queued: Array<() => void> = [];
    let isReady = false;
    const defer = (call: () => void) => (isReady ? call() : queued.push(call));
    const targets = await this.registry.open({
      onTarget: info => defer(() => dispatcher.onTarget(info)),
      onTargetRemoved: id => defer(() => dispatcher.onTargetRemoved(id)),
    });
    if (this.isClosed) {
      await dispatcher.resign();
      return;
    }
    const newest = this.dependencies.table.leadership;
    if (newest && newest.epoch > leadership.epoch) {
      // Another instance has claimed leadership while the registry was read.
      dispatcher.onFenced();
      return;
    }
    this.dispatcher = dispatcher;
    // Logged when this instance has become leader and starts to dispatch.
    this.dependencies.logger.info('leadership-held', {
      epoch: leadership.epoch,
      targets: targets.length,
    });
    isReady = true;
    const running = dispatcher.run(targets);
    queued.forEach(call => call());
    try {
      await running;
    } finally {
      this.registry.close();
      // Only a dispatcher that has ended lets this instance claim again.
      await dispatcher.resign();
    }
  }
}

/**
 * Returns the instance part of a leader name; the other parts distinguish
 * incarnations of the instance.
 */
function parseInstanceName(leaderName: string): string {
  return leaderName.split('/')[0] ?? leaderName;
}
