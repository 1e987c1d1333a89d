/** What the parts of a domain's scheduler share. */
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

/** Parts that the daemon injects. */
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
   * Why nothing may start now, or undefined. The daemon answers from the
   * freshness of the configuration and the holds of its peers.
   */
  findStartBlocker(
    now: Instant,
    targets: readonly string[],
  ): Reason | undefined;
  /** Where to send a queued job that this domain cannot serve; undefined to keep it. */
  chooseMove(
    jobId: string,
    now: number,
  ): {domain: string; reason: Reason} | undefined;
}

/** The parts, with the term that is held. */
export interface SchedulerContext extends SchedulerDependencies {
  term: Term;
  /** Aborted when the term is lost or the daemon stops. */
  signal: AbortSignal;
  /** Appends until the record is in the log or the term is lost. */
  record(body: RecordBody): Promise<boolean>;
  /** Asks for another pass over the queue. */
  requestPass(): void;
}
