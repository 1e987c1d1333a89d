/** What the parts of a domain's scheduler share. */
import type {LedgerState, LogWriter} from '@galenavalve/ledger';
import type {Reason, RecordBody, Term} from '@galenavalve/model';
import type {GuaranteePolicy} from '@galenavalve/placement';
import type {Clock, Instant, Logger, Random} from '@galenavalve/shared';
import type {
  AddressLookup,
  GangStarter,
  LeaseKeeper,
  TargetHealth,
  TakeoverReader,
  TargetClient,
} from '@galenavalve/targets';
import type {CellsMirror} from './cells_mirror.js';

/** Parts that the daemon injects. */
export interface SchedulerParts {
  domain: string;
  state: LedgerState;
  writer: Pick<LogWriter, 'append'>;
  policy: GuaranteePolicy;
  mirror: CellsMirror;
  client: TargetClient;
  addressOf: AddressLookup;
  starter: GangStarter;
  keeper: LeaseKeeper;
  takeover: TakeoverReader;
  health: TargetHealth;
  clock: Clock;
  random: Random;
  logger: Logger;
  /**
   * Why nothing may start now, or undefined. The daemon answers from the
   * freshness of the configuration and the holds of its peers.
   */
  findBar(now: Instant, targets: readonly string[]): Reason | undefined;
  /** Where to send a queued job that this domain cannot serve; undefined to keep it. */
  chooseMove(
    jobId: string,
    now: number,
  ): {domain: string; reason: Reason} | undefined;
}

/** The parts, with the term that is held. */
export interface SchedulerContext extends SchedulerParts {
  term: Term;
  /** Aborted when the term is lost or the daemon stops. */
  signal: AbortSignal;
  /** Appends until the record is in the log or the term is lost. */
  record(body: RecordBody): Promise<boolean>;
  /** Asks for another pass over the queue. */
  poke(): void;
}
