/** Keeps a listing of every target under way, renews its lease and acknowledges ends. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {CallPacer} from './call_pacer.js';
import {computeLeaseEnd} from './command_sender.js';
import {POLL_WAIT_MS, type DispatchSettings} from './settings.js';
import type {PollOutcome, TargetListing, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';

/** Longest wait for an answer beyond the wait that was asked for, in milliseconds; a calm target takes a few. */
const RESPONSE_TIMEOUT_MS = 500;

/** Pause after a listing that did not come, in milliseconds. */
const POLL_RETRY_DELAY_MS = 150;

/** A target that did not answer for this long gets no longer lease, in milliseconds: one listing that was lost is forgiven. */
const MAX_LEASE_EXTENSION_SILENCE_MS = 2000;

/** Longest wait for the log before ends are asked for again, in milliseconds. */
const MAX_RECORD_WAIT_MS = 60;

/** What sessions need of the dispatcher. */
export interface SessionDelegate {
  readonly epoch: number;
  readonly isClosed: boolean;
  /** Whether leases may be extended: the office is surely still held. */
  isLeaseExtensionAllowed(): boolean;
  onListing(room: TargetState, listing: TargetListing): void;
  onOtherIncarnation(room: TargetState, born: number): void;
  /** A target of another id answers at the room's address. */
  onAddressReassigned(room: TargetState): void;
  onFenced(): void;
}

/** Sessions with all targets of one term of office. */
export class TargetSessions {
  constructor(
    private readonly desk: SessionDelegate,
    private readonly port: TargetPort,
    private readonly settings: DispatchSettings,
    private readonly pacer: CallPacer,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Keeps listings coming until the room is over. */
  async maintain(room: TargetState): Promise<void> {
    let failures = 0;
    while (!this.isOver(room)) {
      const wait = chooseWait(room, failures);
      await this.pacer.waitForSlot();
      if (this.isOver(room)) {
        return;
      }
      const outcome = await this.holdSafely(room, wait);
      if (this.isOver(room)) {
        return;
      }
      if (outcome.kind === 'listed') {
        if (failures > 0) {
          this.logger.info('target-reached', {target: room.info.id, failures});
        }
        failures = 0;
        await this.awaitRecord(room);
        continue;
      }
      if (failures === 0) {
        this.logger.warn('target-unreachable', {target: room.info.id, outcome});
      }
      failures++;
      await this.clock.sleep(POLL_RETRY_DELAY_MS);
    }
  }

  /** Asks for one listing at once. */
  async pollOnce(room: TargetState): Promise<void> {
    await this.pacer.waitForSlot();
    if (!this.isOver(room)) {
      await this.holdSafely(room, 0);
    }
  }

  /** An unexpected error costs this listing; the target is asked again. */
  private async holdSafely(
    room: TargetState,
    wait: number,
  ): Promise<PollOutcome> {
    try {
      return await this.hold(room, wait);
    } catch (error) {
      const problem = describeError(error);
      this.logger.error('listing-failed', {target: room.info.id, problem});
      return {kind: 'unknown', problem};
    }
  }

  private async hold(room: TargetState, wait: number): Promise<PollOutcome> {
    const now = this.clock.now();
    // The lease of a silent target must run out: only then may its work start elsewhere.
    const isHeard = now - room.lastResponseAt <= MAX_LEASE_EXTENSION_SILENCE_MS;
    const until =
      isHeard && this.desk.isLeaseExtensionAllowed()
        ? computeLeaseEnd(room, this.settings, now)
        : undefined;
    if (until !== undefined) {
      room.onLeaseSent(until);
    }
    room.responseDueAt = Math.min(room.responseDueAt, now + wait);
    const outcome = await this.port.poll(
      room.info,
      {
        epoch: this.desk.epoch + room.epochOffset,
        leaseUntil: until,
        acknowledgedEnd: room.recordedEnd,
        wait,
      },
      wait + RESPONSE_TIMEOUT_MS,
    );
    this.take(room, outcome);
    return outcome;
  }

  private take(room: TargetState, outcome: PollOutcome): void {
    if (this.isOver(room)) {
      return;
    }
    if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      this.desk.onFenced();
    } else if (outcome.kind === 'other-life') {
      this.desk.onAddressReassigned(room);
    } else if (outcome.kind === 'listed') {
      const {born} = outcome.listing;
      if (born !== 0 && room.info.born !== 0 && born !== room.info.born) {
        this.desk.onOtherIncarnation(room, born);
      } else {
        this.desk.onListing(room, outcome.listing);
      }
    }
  }

  /** Ends are listed until they are acknowledged; asking again before would only repeat them. */
  private async awaitRecord(room: TargetState): Promise<void> {
    if (room.recordedEnd < room.processedEnd) {
      const recorded = new AbortController();
      room.setRecordListener(() => recorded.abort());
      await this.clock.sleep(MAX_RECORD_WAIT_MS, recorded.signal);
    }
  }

  private isOver(room: TargetState): boolean {
    return this.desk.isClosed || room.isRemoved;
  }
}

/** Urgent work is looked at twice as often: it has no time to lose on a target that stands still. */
function chooseWait(room: TargetState, failures: number): Milliseconds {
  // Whether a target is back is to be known at once: its lease waits for that.
  if (!room.hasListing || failures > 0) {
    return 0;
  }
  return room.hasUrgentWork() ? POLL_WAIT_MS / 2 : POLL_WAIT_MS;
}
