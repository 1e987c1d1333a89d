/**
 * Limits the starts in progress on one target. Hundreds at once wait for each
 * other's connections until they time out, and the target counts as faulty.
 */
import type {Clock, Milliseconds} from '@galenavalve/shared';
import type {ActiveUnit} from './active_job.js';
import type {TargetState} from './target_state.js';

/** Limit of starts in progress on a target; fewer than its connections. */
const MAX_STARTS_PER_TARGET = 8;

/** Interval at which waiting units are considered. */
const CHECK_INTERVAL_MS: Milliseconds = 5;

/** Runs of units on one target, by unit. */
interface TargetStarts {
  waiting: Map<ActiveUnit, number>;
  inProgress: Map<ActiveUnit, number>;
}

/** Starts recorded units; single tasks that are not urgent wait their turn at each target. */
export class StartQueue {
  private readonly starts = new Map<TargetState, TargetStarts>();
  private isChecking = false;

  constructor(
    private readonly leadership: {readonly isClosed: boolean},
    private readonly start: (unit: ActiveUnit) => void,
    private readonly clock: Clock,
  ) {}

  /** Starts a unit whose placement is in the log, now or once its target has few starts in progress. */
  add(unit: ActiveUnit): void {
    const target = unit.allocations[0]?.target;
    const isUrgent = unit.job.accepted.terms.priority === 0;
    if (!target || isUrgent || unit.step.isGang) {
      this.start(unit);
      return;
    }
    const starts = this.starts.get(target) ?? {
      waiting: new Map(),
      inProgress: new Map(),
    };
    this.starts.set(target, starts);
    starts.waiting.set(unit, unit.progress.run);
    this.startWaiting(target, starts);
    void this.check();
  }

  /** Considers the waiting units until none is left. */
  private async check(): Promise<void> {
    if (this.isChecking) {
      return;
    }
    this.isChecking = true;
    while (this.starts.size > 0 && !this.leadership.isClosed) {
      await this.clock.sleep(CHECK_INTERVAL_MS);
      for (const [target, starts] of this.starts) {
        this.startWaiting(target, starts);
      }
    }
    this.isChecking = false;
  }

  private startWaiting(
    target: TargetState,
    {waiting, inProgress}: TargetStarts,
  ): void {
    for (const [unit, run] of inProgress) {
      if (unit.phase !== 'starting' || unit.progress.run !== run) {
        inProgress.delete(unit);
      }
    }
    for (const [unit, run] of waiting) {
      if (inProgress.size >= MAX_STARTS_PER_TARGET) {
        return;
      }
      waiting.delete(unit);
      const isSameRun = unit.progress.run === run;
      if (
        isSameRun &&
        unit.phase === 'recording' &&
        !this.leadership.isClosed
      ) {
        inProgress.set(unit, run);
        this.start(unit);
      }
    }
    if (inProgress.size === 0) {
      this.starts.delete(target);
    }
  }
}
