/** Gets a state for a process that starts, or that was left behind by the log. */
import {type Logger, describeError} from '@galenavalve/shared';
import type {Log} from '../log.js';
import {type LedgerOptions, LedgerState} from '../state.js';
import {decodeState} from './codec.js';
import {
  type LogRange,
  type ScanOptions,
  findSnapshots,
  readLogRange,
} from './log_snapshots.js';
import type {StateSource} from './state_source.js';

const DEFAULT_OPTIONS: ScanOptions = {pageLimit: 500, readTimeout: 3000};

/** What a restorer needs. */
export interface StateRestorerDependencies {
  log: Log;
  logger: Logger;
  /** The peers that can be asked now. */
  listSources: () => readonly StateSource[];
  /** Parameters of the fold; the same as those of the running state. */
  ledgerOptions: Partial<LedgerOptions>;
  options?: Partial<ScanOptions>;
}

/** Chooses the state with the highest offset among the log's snapshots and the peers' states. */
export class StateRestorer {
  private readonly options: ScanOptions;

  constructor(private readonly dependencies: StateRestorerDependencies) {
    this.options = {...DEFAULT_OPTIONS, ...dependencies.options};
  }

  /**
   * A state from which the log can be followed: empty when the log still has
   * its first record and holds no snapshot. Undefined when there is none yet.
   */
  async restore(): Promise<LedgerState | undefined> {
    const range = await this.readRange();
    const oldest = range?.oldestOffset ?? 0;
    const fromLog = range && (await this.restoreFromLog(range));
    const fromPeer = await this.restoreFromPeer(fromLog?.nextOffset ?? oldest);
    const state = fromPeer ?? fromLog;
    if (state) {
      return state;
    }
    const isWhole = range?.oldestOffset === 0;
    return isWhole
      ? new LedgerState(this.dependencies.ledgerOptions)
      : undefined;
  }

  private async readRange(): Promise<LogRange | undefined> {
    try {
      return await readLogRange(this.dependencies.log, this.options);
    } catch (error) {
      this.warn('log-range-unknown', error);
      return undefined;
    }
  }

  private async restoreFromLog(
    range: LogRange,
  ): Promise<LedgerState | undefined> {
    const {log, ledgerOptions: ledger, logger} = this.dependencies;
    try {
      for await (const snapshot of findSnapshots(log, range, this.options)) {
        if (snapshot.nextOffset < range.oldestOffset) {
          continue;
        }
        const {snapshotId, nextOffset} = snapshot;
        const state = this.tryDecode(snapshotId, () =>
          decodeState(snapshot, ledger),
        );
        if (state) {
          logger.info('snapshot-restored', {snapshotId, nextOffset});
          return state;
        }
      }
    } catch (error) {
      this.warn('log-scan-failed', error);
    }
    return undefined;
  }

  /** The state of the peer that is furthest, if that is beyond `offset`. */
  private async restoreFromPeer(
    offset: number,
  ): Promise<LedgerState | undefined> {
    const offers = await Promise.all(
      this.dependencies.listSources().map(source => this.askOffset(source)),
    );
    const useful = offers
      .filter(offer => offer.nextOffset > offset)
      .sort((a, b) => b.nextOffset - a.nextOffset);
    for (const {source} of useful) {
      const state = await this.fetch(source);
      if (state && state.nextOffset > offset) {
        return state;
      }
    }
    return undefined;
  }

  private async askOffset(source: StateSource) {
    try {
      return {source, nextOffset: await source.fetchNextOffset()};
    } catch (error) {
      this.warn('peer-state-unknown', error, source.name);
      return {source, nextOffset: -1};
    }
  }

  private async fetch(source: StateSource): Promise<LedgerState | undefined> {
    try {
      const snapshot = await source.fetchSnapshot();
      const state = decodeState(snapshot, this.dependencies.ledgerOptions);
      const {nextOffset} = state;
      const peer = source.name;
      this.dependencies.logger.info('peer-state-restored', {peer, nextOffset});
      return state;
    } catch (error) {
      this.warn('peer-state-failed', error, source.name);
      return undefined;
    }
  }

  private tryDecode(
    snapshotId: string,
    decode: () => LedgerState,
  ): LedgerState | undefined {
    try {
      return decode();
    } catch (error) {
      this.warn('snapshot-skipped', error, snapshotId);
      return undefined;
    }
  }

  private warn(event: string, error: unknown, source?: string): void {
    const problem = describeError(error);
    this.dependencies.logger.warn(event, {source, problem});
  }
}
