/**
 * Polls every target continuously. A poll renews the target's lease, acknowledges
 * the ends of runs, and returns a listing: the target's runs and unacknowledged
 * ends.
 */
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {CallPacer} from './call_pacer.js';
import {computeLeaseEnd} from './command_sender.js';
import {POLL_WAIT_MS, type DispatchSettings} from './settings.js';
import type {PollOutcome, TargetListing, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';

/**
 * Time that a response may take beyond the wait of the poll; a target that is
 * not busy takes a few milliseconds.
 */
const RESPONSE_TIMEOUT_MS = 500;

/** Polls by which a contested target is asked which incarnation it is, beside those that go on. */
const MAX_IDENTIFY_ATTEMPTS = 3;

/** Delay before the retry of a failed poll. */
const POLL_RETRY_DELAY_MS = 150;

/**
 * Time without a response after which a target's lease is no longer extended;
 * one lost poll is tolerated.
 */
const MAX_LEASE_EXTENSION_RESPONSE_AGE_MS = 2000;

/** Pause between polls while an end is held back, since the target then responds without a wait. */
const HELD_END_PAUSE_MS = 250;

/** Maximum wait for the ends of runs to be written to the log before the next poll. */
const MAX_RECORD_WAIT_MS = 60;

/** What the sessions need from the dispatcher. */
export interface SessionDelegate {
  readonly epoch: number;
  /** Whether leadership has ended. */
  readonly isClosed: boolean;
  /**
   * Whether leases may be extended, which requires recent proof of leadership.
   */
  isLeaseExtensionAllowed(): boolean;
  /** Called for every listing of a target, with the time at which it was requested. */
  onListing(target: TargetState, listing: TargetListing, sentAt: Instant): void;
  /** Called when another incarnation responds at the address of `target`. */
  onOtherIncarnation(target: TargetState, born: number): void;
  /**
   * Called when a target with another id responds at the address of `target`.
   */
  onAddressReassigned(target: TargetState): void;
  /** Called when a target refuses a poll because it has seen a higher epoch. */
  onFenced(): void;
}

/** Sessions of one leader with all targets. */
export class TargetSessions {
  constructor(
    private readonly delegate: SessionDelegate,
    private readonly port: TargetPort,
    private readonly settings: DispatchSettings,
    private readonly pacer: CallPacer,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Polls a target until it is removed or leadership ends. */
  async maintain(target: TargetState): Promise<void> {
    let failures = 0;
    while (!this.isClosed(target)) {
      const wait = chooseWait(target, failures);
      await this.pacer.waitForSlot();
      if (this.isClosed(target)) {
        return;
      }
      const outcome = await this.pollSafely(target, wait);
      if (this.isClosed(target)) {
        return;
      }
      if (outcome.kind === 'listed') {
        if (failures > 0) {
          this.logger.info('target-reached', {
            target: target.info.id,
            failures,
          });
        }
        failures = 0;
        await this.waitForRecord(target);
        if (target.hasHeldEnds(this.clock.now())) {
          await this.clock.sleep(HELD_END_PAUSE_MS);
        }
        continue;
      }
      if (failures === 0) {
        this.logger.warn('target-unreachable', {
          target: target.info.id,
          outcome,
        });
      }
      failures++;
      target.unresponsiveSince ??= this.clock.now();
      await this.clock.sleep(POLL_RETRY_DELAY_MS);
    }
  }

  /** Requests one listing, to which the target responds at once instead of when a run ends. */
  async pollOnce(target: TargetState): Promise<void> {
    await this.pacer.waitForSlot();
    if (!this.isClosed(target)) {
      await this.pollSafely(target, 0);
    }
  }

  /** Asks which incarnation responds at the target's address; connections to a former one may hang. */
  async identify(target: TargetState): Promise<void> {
    for (let attempt = 0; attempt < MAX_IDENTIFY_ATTEMPTS; attempt++) {
      await this.pacer.waitForSlot();
      if (this.isClosed(target) || target.contestedAt === undefined) {
        return;
      }
      await this.pollSafely(target, 0, true);
      await this.clock.sleep(POLL_RETRY_DELAY_MS);
    }
  }

  /** Polls once; an unexpected error counts as a failed poll. */
  private async pollSafely(
    target: TargetState,
    wait: number,
    needsNewConnection = false,
  ): Promise<PollOutcome> {
    try {
      return await this.poll(target, wait, needsNewConnection);
    } catch (error) {
      const problem = describeError(error);
      this.logger.error('listing-failed', {target: target.info.id, problem});
      return {kind: 'unknown', problem};
    }
  }

  private async poll(
    target: TargetState,
    wait: number,
    needsNewConnection: boolean,
  ): Promise<PollOutcome> {
    const now = this.clock.now();
    // The lease of a target that does not respond must expire, since only then
    // can its work start elsewhere.
    const isResponsive =
      now - target.lastResponseAt <= MAX_LEASE_EXTENSION_RESPONSE_AGE_MS;
    const leaseEnd =
      isResponsive && this.delegate.isLeaseExtensionAllowed()
        ? computeLeaseEnd(target, this.settings, now)
        : undefined;
    if (leaseEnd !== undefined) {
      target.onLeaseSent(leaseEnd, now);
    }
    target.responseDueAt = Math.min(target.responseDueAt, now + wait);
    const outcome = await this.port.poll(
      target.info,
      {
        epoch: this.delegate.epoch + target.epochOffset,
        leaseUntil: leaseEnd,
        // Another incarnation numbers its ends anew and would forget them unread.
        acknowledgedEnd: target.isIncarnationProven
          ? target.findAcknowledgedEnd(now)
          : 0,
        wait,
        needsNewConnection,
      },
      wait + RESPONSE_TIMEOUT_MS,
    );
    target.isIncarnationProven =
      outcome.kind === 'listed' &&
      !isOtherIncarnation(target, outcome.listing.born);
    this.applyOutcome(target, outcome, now);
    return outcome;
  }

  private applyOutcome(
    target: TargetState,
    outcome: PollOutcome,
    sentAt: Instant,
  ): void {
    if (this.isClosed(target)) {
      return;
    }
    if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      this.delegate.onFenced();
    } else if (outcome.kind === 'other-life') {
      this.delegate.onAddressReassigned(target);
    } else if (outcome.kind === 'listed') {
      const {born} = outcome.listing;
      if (isOtherIncarnation(target, born)) {
        this.delegate.onOtherIncarnation(target, born);
      } else {
        this.delegate.onListing(target, outcome.listing, sentAt);
      }
    }
  }

  /**
   * Waits until the processed ends are in the log. Ends are listed until they
   * are acknowledged, so an earlier poll would only return them again.
   */
  private async waitForRecord(target: TargetState): Promise<void> {
    if (target.recordedEnd < target.processedEnd) {
      const recorded = new AbortController();
      target.setRecordListener(() => recorded.abort());
      await this.clock.sleep(MAX_RECORD_WAIT_MS, recorded.signal);
    }
  }

  private isClosed(target: TargetState): boolean {
    return this.delegate.isClosed || target.isRemoved;
  }
}

/** Whether a listing is that of another incarnation; `born` is 0 if the listing does not tell. */
function isOtherIncarnation({info}: TargetState, born: number): boolean {
  return born !== 0 && info.born !== 0 && born !== info.born;
}

/**
 * Returns the wait of the next poll. Targets with urgent work are polled twice
 * as often, so that a stall is noticed early.
 */
function chooseWait(target: TargetState, failures: number): Milliseconds {
  // A target that does not respond is polled without a wait, so that its return
  // is noticed at once and its lease renewed.
  if (!target.hasListing || failures > 0) {
    return 0;
  }
  return target.hasUrgentWork() ? POLL_WAIT_MS / 2 : POLL_WAIT_MS;
}
