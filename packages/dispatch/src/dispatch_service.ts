/** Holds the office when it is vacant, and dispatches while it is held. */
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
import {encodeLeadership} from '@galenavalve/workload';
import {Dispatcher, type DispatcherDependencies} from './dispatcher.js';
import type {FencedAppendOutcome} from './fenced_log.js';
import {
  LeaderMonitor,
  type CandidateRank,
  chooseNextEpoch,
} from './leader_monitor.js';
import type {TargetInfo} from './target_info.js';

/** Longest wait for the answer to a claim, and for reading it back, in milliseconds. */
const CLAIM_TIMEOUT_MS = 1500;

/** Claims that are made only if nothing was written since the log was read, and one more without that condition. */
const MAX_CLAIM_ATTEMPTS = 4;

/** The office is looked at this often, in milliseconds. */
const LEADER_CHECK_INTERVAL_MS = 100;

/** Shortest pause between two looks, in milliseconds; ranks are told apart by some ten times as much. */
const MIN_LEADER_CHECK_INTERVAL_MS = 5;

/** Instances of a rank below this read nearly as fast as the holder, to notice its end. */
const STANDBY_RANKS = 3;

/** Time that records gather for those, in milliseconds; a fraction of the silence that makes the office vacant. */
const STANDBY_READ_DELAY_MS = 80;

/** The same for all others; callers who ask are answered from a read of that moment. */
const PASSIVE_READ_DELAY_MS = 400;

/** What the registry of targets says; followed only while the office is held. */
export interface TargetRegistry {
  /** Calls back for every change until closed; resolves with what is listed now. */
  open(events: {
    onTarget(info: TargetInfo): void;
    onTargetGone(id: string): void;
  }): Promise<TargetInfo[]>;
  close(): void;
}

/** The part of an instance that dispatches when it is its turn. */
export class DispatchService {
  private readonly watch: LeaderMonitor;
  private dispatcher?: Dispatcher;
  private isClosed = false;

  constructor(
    private readonly parts: Omit<DispatcherDependencies, 'onLeadershipLost'>,
    private readonly follower: Follower,
    private readonly registry: TargetRegistry,
    private readonly holder: string,
    private readonly standing: () => CandidateRank,
  ) {
    this.watch = new LeaderMonitor(parts.clock.now(), parts.random, standing);
  }

  /** Whether this instance dispatches now. */
  get isDispatching(): boolean {
    return this.dispatcher !== undefined && !this.dispatcher.isClosed;
  }

  /** How long this instance lets records of the job log gather before it reads on: each read is paid for, and its processor is small. */
  get readDelay(): Milliseconds {
    if (this.isDispatching) {
      return 0;
    }
    return this.standing().rank < STANDBY_RANKS
      ? STANDBY_READ_DELAY_MS
      : PASSIVE_READ_DELAY_MS;
  }

  /** Claims the office whenever it is vacant, until closed. */
  async run(): Promise<void> {
    const {clock, logger} = this.parts;
    while (!this.isClosed) {
      const due = this.watch.computeTimeToClaim(clock.now());
      await clock.sleep(
        Math.min(
          LEADER_CHECK_INTERVAL_MS,
          Math.max(MIN_LEADER_CHECK_INTERVAL_MS, due),
        ),
      );
      const now = clock.now();
      const isIdle = !this.isClosed && !this.isDispatching;
      if (isIdle && this.follower.isCaughtUp && this.watch.isClaimDue(now)) {
        try {
          await this.claim();
        } catch (error) {
          logger.warn('claim-failed', {problem: describeError(error)});
          this.watch.onClaimFailed(clock.now());
        }
      }
    }
  }

  /** Steps down and claims no more. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.registry.close();
    await this.dispatcher?.resign();
  }

  /** The log answered. */
  onLogResponse(now: Instant): void {
    this.watch.onLogResponse(now);
  }

  /** A record of the job log was applied. */
  onRecord(record: JobRecord, now: Instant): void {
    if (record.kind === 'leadership') {
      this.onLeadership(record.leadership, now);
    } else if (record.kind === 'progress' && this.follower.isCaughtUp) {
      this.watch.onLeaderRecord(undefined, now);
    } else if (record.kind === 'accepted') {
      const entry = this.parts.table.find(record.id);
      if (entry) {
        this.onAccepted(entry);
      }
    } else if (record.kind === 'cancelled') {
      this.dispatcher?.onJobCancelled(record.id);
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
      const age = this.parts.clock.wallTime() - writtenAt;
      const isOwn =
        parseInstanceName(leadership.holder) === parseInstanceName(this.holder);
      this.watch.onInitialLeaderRecord(leadership, age, isOwn, now);
    } else {
      this.watch.onLeaderRecord(leadership, now);
    }
    const own = this.dispatcher;
    if (own && leadership.epoch > own.epoch) {
      own.onFenced();
    }
  }

  /** Claims the office if the log, read to its end, says that it is vacant. */
  private async claim(): Promise<void> {
    const {log, table, random, clock, logger} = this.parts;
    for (let attempt = 1; attempt <= MAX_CLAIM_ATTEMPTS; attempt++) {
      const isCurrent = await this.follower.readToEnd(CLAIM_TIMEOUT_MS);
      const isVacant = this.watch.isClaimDue(clock.now());
      if (!isCurrent || !isVacant || this.isClosed) {
        logger.info('claim-left', {attempt, isCurrent, isVacant});
        return;
      }
      const leadership: Leadership = {
        epoch: chooseNextEpoch(table.leadership, random),
        holder: this.holder,
      };
      logger.info('office-claimed', {
        epoch: leadership.epoch,
        before: table.leadership,
        attempt,
      });
      const fencing = {
        epoch: leadership.epoch,
        sequence: 0,
        // A slow log may move between every read and append.
        endsAt:
          attempt < MAX_CLAIM_ATTEMPTS ? this.follower.nextOffset : undefined,
      };
      const record = encodeLeadership(leadership);
      const result = await log.appendFenced(
        fencing,
        [record],
        CLAIM_TIMEOUT_MS,
      );
      if (await this.isClaimed(leadership, result)) {
        await this.dispatch(leadership, clock.now());
        return;
      }
      logger.info('office-not-held', {epoch: leadership.epoch, result});
      if (result.kind !== 'moved') {
        this.watch.onClaimFailed(clock.now());
        return;
      }
    }
  }

  /** Whether the claim is in the log and the newest. A rival with the same epoch would be told of this claim's place, or of its own; a claim that came twice is told that the log moved. */
  private async isClaimed(
    leadership: Leadership,
    result: FencedAppendOutcome,
  ): Promise<boolean> {
    const isRead =
      result.kind === 'appended'
        ? await this.follower.waitForOffset(result.offset, CLAIM_TIMEOUT_MS)
        : result.kind === 'moved' &&
          (await this.follower.readToEnd(CLAIM_TIMEOUT_MS));
    const newest = this.parts.table.leadership;
    const isOwn =
      newest?.epoch === leadership.epoch && newest.holder === this.holder;
    return isRead && isOwn && !this.isClosed;
  }

  private async dispatch(leadership: Leadership, now: Instant): Promise<void> {
    const dispatcher = new Dispatcher(
      {...this.parts, onLeadershipLost: () => this.registry.close()},
      leadership,
      now,
    );
    const early: Array<() => void> = [];
    let isOpen = false;
    const later = (call: () => void) => (isOpen ? call() : early.push(call));
    const targets = await this.registry.open({
      onTarget: info => later(() => dispatcher.onTarget(info)),
      onTargetGone: id => later(() => dispatcher.onTargetGone(id)),
    });
    if (this.isClosed) {
      await dispatcher.resign();
      return;
    }
    this.dispatcher = dispatcher;
    this.parts.logger.info('office-held', {
      epoch: leadership.epoch,
      targets: targets.length,
    });
    isOpen = true;
    const running = dispatcher.run(targets);
    early.forEach(call => call());
    await running;
    this.registry.close();
  }
}

/** The instance of a holder's name, whose other parts tell its lives apart. */
function parseInstanceName(holder: string): string {
  return holder.split('/')[0] ?? holder;
}
