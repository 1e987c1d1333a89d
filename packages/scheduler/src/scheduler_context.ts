/** Dependencies and context that the components of a domain's scheduler share. */
import type {LedgerState, LogWriter} from '@galenavalve/ledger';
import type {Reason, RecordBody, Term} from '@galenavalve/model';
import type {GuaranteePolicy} from '@galenavalve/placement';
import type {Clock, Instant, Logger, Random} from '@galenavalve/shared';
import type {
  AddressLookup,
  GangStarter,
  LeaseRenewer,
  TargetHealth,
  TargetFencer,
  TargetClient,
} from '@galenavalve/targets';
import type {CellsProjection} from './cells_projection.js';

/** Dependencies that the daemon injects. */
export interface SchedulerDependencies {
  domain: string;
  state: LedgerState;
  writer: Pick<LogWriter, 'append'>;
  policy: GuaranteePolicy;
  projection: CellsProjection;
  client: TargetClient;
  findAddress: AddressLookup;
  starter: GangStarter;
  leaseRenewer: LeaseRenewer;
  targetFencer: TargetFencer;
  health: TargetHealth;
  clock: Clock;
  random: Random;
  logger: Logger;
  /**
   * Returns the reason why nothing may start now on `targets`, or undefined. The
   * daemon decides from the freshness of the configuration and the holds that it
   * knows from peers.
   */
  findStartBlocker(
    now: Instant,
    targets: readonly string[],
  ): Reason | undefined;
  /**
   * Chooses the domain to which a queued job is moved; undefined when it stays.
   * `now` is wall-clock time.
   */
  chooseMove(
    jobId: string,
    now: number,
  ): {domain: string; reason: Reason} | undefined;
}

/** The dependencies together with the term that the scheduler holds. */
export interface SchedulerContext extends SchedulerDependencies {
  term: Term;
  /** Aborts when the term is lost or the daemon stops. */
  signal: AbortSignal;
  /**
   * Appends a record, with retries until the term is lost. Resolves to whether
   * the fold accepted it.
   */
  record(body: RecordBody): Promise<boolean>;
  /** Requests another pass over the queue. */
  requestPass(): void;
}
