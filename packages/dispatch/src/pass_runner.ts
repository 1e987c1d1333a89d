/** The passes of one term of office: when one is made, and what is done with its decision. */
import type {Clock, Instant, Logger} from '@galenavalve/shared';
import {PassThrottle} from './pass_throttle.js';
import {type SchedulingSnapshot, decide} from './policy/index.js';
import type {RunTracker} from './run_tracker.js';
import {type ActiveUnit, countMembers} from './active_job.js';

/** What passes need of the dispatcher. */
export interface PassDelegate {
  /** Everything that a decision is made from. */
  createSnapshot(now: Instant): SchedulingSnapshot;
  /** Runs `act`; an error in it ends nothing else. */
  runGuarded(work: string, act: () => void): void;
  /** A pass that news asked for was made. */
  onPass(): void;
}

/** Makes passes soon after news, and with each tick. */
export class PassRunner {
  private readonly schedule = new PassThrottle();
  private isDue = false;

  constructor(
    private readonly desk: PassDelegate,
    private readonly term: {readonly epoch: number; readonly isClosed: boolean},
    private readonly book: RunTracker,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** News may let something start. */
  request(): void {
    if (this.isDue || this.term.isClosed) {
      return;
    }
    this.isDue = true;
    const delay = this.schedule.computeDelay(this.clock.now());
    void this.clock.sleep(delay).then(() => {
      if (!this.term.isClosed) {
        this.desk.runGuarded('pass', () => this.pass(this.clock.now()));
        this.desk.onPass();
      }
    });
  }

  /** Time alone may let something start. */
  onTick(now: Instant): void {
    if (this.schedule.isPassAllowed(now)) {
      this.pass(now);
    }
  }

  private pass(now: Instant): void {
    this.isDue = false;
    const decision = decide(this.desk.createSnapshot(now), now);
    for (const start of decision.starts) {
      this.book.place(start, this.term.epoch, now);
    }
    for (const {unit, reason} of decision.waits) {
      this.logWait(unit, reason);
    }
    for (const {unit, rooms, until} of decision.targetClaims) {
      unit.targetClaim = {rooms, until};
    }
    for (const {unit, for: claimant} of decision.stops) {
      this.book.stop(unit, `urgent job ${claimant} needs its room`);
    }
    this.schedule.onPass(now, this.clock.now());
  }

  /** Says once why an urgent unit waits. */
  private logWait(unit: ActiveUnit, reason: string): void {
    const kind = reason.replace(/\d+/g, '#');
    if (unit.waitReason !== kind) {
      unit.waitReason = kind;
      this.logger.info('urgent-waits', {
        job: unit.job.id,
        step: unit.stepIndex,
        members: countMembers(unit),
        demand: unit.step.demand,
        isRackSensitive: unit.step.isRackSensitive,
        reason,
      });
    }
  }
}
