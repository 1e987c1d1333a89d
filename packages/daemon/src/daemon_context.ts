/** The dependencies that the roles, commands and queries of a daemon share. */
import type {
  LedgerState,
  Log,
  LogFollower,
  LogWriter,
} from '@galenavalve/ledger';
import type {FreshnessTracker, PeerMesh} from '@galenavalve/membership';
import type {GuaranteePolicy} from '@galenavalve/placement';
import type {CellsProjection, Scheduler} from '@galenavalve/scheduler';
import type {Clock, Logger, Random} from '@galenavalve/shared';
import type {Metrics} from './observability/metrics.js';
import type {BacklogEstimator} from './backlog_estimator.js';
import type {JobWaiters} from './job_waiters.js';
import type {Settings} from './settings/settings.js';

/** Lifecycle stage of the daemon. */
export type Stage = 'starting' | 'serving' | 'stopping';

/** Shared dependencies and stage of a daemon. */
export interface DaemonContext {
  settings: Settings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /** The platform's log, for results that are no longer in memory. */
  log: Log;
  state: LedgerState;
  follower: LogFollower;
  writer: LogWriter;
  policy: GuaranteePolicy;
  mesh: PeerMesh;
  freshness: FreshnessTracker;
  scheduler: Scheduler;
  backlogEstimator: BacklogEstimator;
  waiters: JobWaiters;
  stage: Stage;
  /** Returns the projection of a failure domain: its cells, derived from the ledger. Creates it at first use. */
  getProjection(domain: string): CellsProjection;
  /** Returns the projections created so far. */
  listProjections(): Iterable<CellsProjection>;
}
