/** What the roles, commands and queries of one daemon share. */
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

/** Where the daemon is in its life. */
export type Stage = 'starting' | 'serving' | 'stopping';

/** The parts of one daemon. */
export interface DaemonContext {
  settings: Settings;
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  /** The platform's log, for results that memory has dropped. */
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
  /** The cells of a failure domain; made on first use. */
  getProjection(domain: string): CellsProjection;
  /** The cells of every failure domain that has been asked for. */
  listProjections(): Iterable<CellsProjection>;
}
