/** Input and result of a scheduling pass. */
import type {Instant} from '@galenavalve/shared';
import type {ActiveJob, ActiveUnit} from '../active_job.js';
import type {DurationEstimator} from '../duration_estimator.js';
import type {DispatchSettings} from '../settings.js';
import type {TargetState} from '../target_state.js';
import type {Obstacle} from '../obstacle.js';
import type {PlannedStart} from './placement_request.js';

/** Input of a scheduling pass. */
export interface SchedulingSnapshot {
  jobs: readonly ActiveJob[];
  targets: readonly TargetState[];
  estimator: DurationEstimator;
  /** Accelerators guaranteed to the urgent jobs of each workspace. */
  guarantees: ReadonlyMap<string, number>;
  /** Failure domains that receive no new work. */
  evacuated: ReadonlySet<string>;
  settings: DispatchSettings;
  /**
   * Whether the listings of the targets are known. Shortly after a takeover they
   * are not, and most capacity that is free is not seen.
   */
  areTargetsListed: boolean;
  /**
   * Returns the targets that the advisor allows for a unit; undefined if the
   * unit needs no advice.
   */
  findAllowedTargets: (unit: ActiveUnit) => ReadonlySet<string> | undefined;
}

/** Result of a scheduling pass. */
export interface Decision {
  starts: PlannedStart[];
  /**
   * Units to stop, each with the id of the urgent job (`for`) that needs its
   * capacity.
   */
  stops: Array<{unit: ActiveUnit; for: string}>;
  /** Reasons why urgent units do not start now. */
  waits: Array<{unit: ActiveUnit; reason: string}>;
  /** What kept the other ready units from starting. */
  obstacles: Array<{unit: ActiveUnit; obstacle: Obstacle}>;
  /** Targets to keep free of other work until the unit fits. */
  targetClaims: Array<{
    unit: ActiveUnit;
    targets: ReadonlySet<TargetState>;
    until: Instant;
  }>;
}
