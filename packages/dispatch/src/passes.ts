/** The passes of one term of office: when one is made, and what is done with its decision. */
import type {Clock, Instant, Logger} from '@galenavalve/shared';
import {PassSchedule} from './pass_schedule.js';
import {type Situation, decide} from './policy/index.js';
import type {RunBook} from './run_book.js';
import {type UnitRun, memberCount} from './runs.js';

/** What passes need of the dispatcher. */
export interface PassDesk {
  /** Everything that a decision is made from. */
  describe(now: Instant): Situation;
  /** Runs `act`; an error in it ends nothing else. */
  attempt(work: string, act: () => void): void;
  /** A pass that news asked for was made. */
  onPass(): void;
}

/** Makes passes soon after news, and with each tick. */
export class Passes {
  private readonly schedule = new PassSchedule();
  private isDue = false;

  constructor(
    private readonly desk: PassDesk,
    private readonly term: {readonly epoch: number; readonly isOver: boolean},
    private readonly book: RunBook,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** News may let something start. */
  request(): void {
    if (this.isDue || this.term.isOver) {
      return;
    }
    this.isDue = true;
    const delay = this.schedule.delay(this.clock.now());
    void this.clock.sleep(delay).then(() => {
      if (!this.term.isOver) {
        this.desk.attempt('pass', () => this.pass(this.clock.now()));
        this.desk.onPass();
      }
    });
  }

  /** Time alone may let something start. */
  onTick(now: Instant): void {
    if (this.schedule.isOpen(now)) {
      this.pass(now);
    }
  }

  private pass(now: Instant): void {
    this.isDue = false;
    const decision = decide(this.desk.describe(now), now);
    for (const start of decision.starts) {
      this.book.place(start, this.term.epoch, now);
    }
    for (const {unit, reason} of decision.waits) {
      this.logWait(unit, reason);
    }
    for (const {unit, rooms, until} of decision.claims) {
      unit.claim = {rooms, until};
    }
    for (const {unit, for: claimant} of decision.stops) {
      this.book.stop(unit, `urgent job ${claimant} needs its room`);
    }
    this.schedule.onPass(now, this.clock.now());
  }

  /** Says once why an urgent unit waits. */
  private logWait(unit: UnitRun, reason: string): void {
    const kind = reason.replace(/\d+/g, '#');
    if (unit.waitReason !== kind) {
      unit.waitReason = kind;
      this.logger.info('urgent-waits', {
        job: unit.job.id,
        step: unit.stepIndex,
        members: memberCount(unit),
        demand: unit.step.demand,
        isRackSensitive: unit.step.isRackSensitive,
        reason,
      });
    }
  }
}
