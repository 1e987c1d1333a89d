/** Runs the scheduling passes of one leader and carries out their decisions. */
import type {Clock, Instant, Logger} from '@galenavalve/shared';
import {PassThrottle} from './pass_throttle.js';
import type {SchedulingPolicy, SchedulingSnapshot} from './policy/index.js';
import type {RunTracker} from './run_tracker.js';
import {type ActiveUnit, countMembers} from './active_job.js';

/** What the pass runner needs of the dispatcher. */
export interface PassDelegate {
  /** Creates the input of a scheduling decision. */
  createSnapshot(now: Instant): SchedulingSnapshot;
  /** Runs `action` and logs any error that it throws. */
  runGuarded(work: string, action: () => void): void;
  /** Called after a requested pass. */
  onPass(): void;
}

/** Runs passes shortly after they are requested, and on ticks. */
export class PassRunner {
  private readonly throttle = new PassThrottle();
  private isRequested = false;

  constructor(
    private readonly delegate: PassDelegate,
    private readonly leadership: {
      readonly epoch: number;
      readonly isClosed: boolean;
    },
    private readonly policy: SchedulingPolicy,
    private readonly tracker: RunTracker,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Requests a pass after an event that may allow a unit (a gang or a single task) to start. */
  request(): void {
    if (this.isRequested || this.leadership.isClosed) {
      return;
    }
    this.isRequested = true;
    const delay = this.throttle.computeDelay(this.clock.now());
    void this.clock.sleep(delay).then(() => {
      if (!this.leadership.isClosed) {
        this.delegate.runGuarded('pass', () => this.runPass(this.clock.now()));
        this.delegate.onPass();
      }
    });
  }

  /**
   * Runs a pass unless the throttle defers it, since elapsed time alone may
   * allow a unit to start.
   */
  onTick(now: Instant): void {
    if (this.throttle.isPassAllowed(now)) {
      this.runPass(now);
    }
  }

  private runPass(now: Instant): void {
    this.isRequested = false;
    const decision = this.policy.decide(this.delegate.createSnapshot(now), now);
    for (const start of decision.starts) {
      this.tracker.place(start, this.leadership.epoch, now);
    }
    for (const {unit, obstacle} of decision.obstacles) {
      unit.obstacle = obstacle;
      unit.waitingSince ??= now;
      if (obstacle !== 'not-considered') {
        unit.triedAt = now;
      }
    }
    for (const {unit, reason} of decision.waits) {
      this.logWait(unit, reason);
    }
    for (const {unit, targets, until} of decision.targetClaims) {
      unit.targetClaim = {targets, until};
    }
    for (const {unit, for: claimant} of decision.stops) {
      this.tracker.stop(unit, `urgent job ${claimant} needs its capacity`);
    }
    this.throttle.onPass(now, this.clock.now());
  }

  /** Logs why an urgent unit waits, once per kind of reason. */
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
