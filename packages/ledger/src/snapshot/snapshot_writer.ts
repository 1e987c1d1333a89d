/** Appends snapshots to the log, well before the records that they replace expire. */
import {
  type Clock,
  type Logger,
  type Random,
  describeError,
} from '@galenavalve/shared';
import type {LogFollower} from '../follower.js';
import type {LogWriter} from '../writer.js';
import {createChunks} from './chunks.js';
import {encodeStateAsync} from './codec.js';
import {type SnapshotSchedule, isSnapshotDue} from './snapshot_policy.js';

const DEFAULT_SCHEDULE: SnapshotSchedule = {
  interval: 60 * 60 * 1000,
  maxNewRecords: 20_000,
  maxNewerShare: 0.4,
};

/**
 * Mean interval of the checks whether a snapshot is due; each pause is a random
 * 50 to 150 % of it.
 */
const CHECK_INTERVAL_MS = 5000;

/** Timeout of the append of one chunk. */
const CHUNK_TIMEOUT_MS = 20_000;

/** Dependencies of a `SnapshotWriter`. */
export interface SnapshotWriterDependencies {
  follower: LogFollower;
  writer: LogWriter;
  clock: Clock;
  random: Random;
  logger: Logger;
  instance: string;
  schedule?: Partial<SnapshotSchedule>;
}

/** Appends a snapshot whenever one is due for this instance. */
export class SnapshotWriter {
  private readonly schedule: SnapshotSchedule;

  constructor(private readonly dependencies: SnapshotWriterDependencies) {
    this.schedule = {...DEFAULT_SCHEDULE, ...dependencies.schedule};
  }

  /** Checks whether a snapshot is due until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS * (0.5 + random.next()), signal);
      if (!signal.aborted && this.isDue()) {
        await this.tryRecord();
      }
    }
  }

  /** Appends a snapshot now. Rethrows errors of the writer. */
  async record(): Promise<void> {
    const {follower, writer, clock, logger, instance} = this.dependencies;
    const snapshotId = `${instance}-${follower.state.nextOffset}-${Math.round(clock.wallTime())}`;
    const snapshot = await encodeStateAsync(follower.state, snapshotId);
    const chunks = createChunks(snapshot);
    // Appends chunks one by one, so that a large snapshot does not fill the queue
    // ahead of requests.
    for (const chunk of chunks) {
      await writer.append(chunk, {deadline: clock.now() + CHUNK_TIMEOUT_MS});
    }
    logger.info('snapshot-recorded', {
      snapshotId,
      nextOffset: snapshot.nextOffset,
      chunks: chunks.length,
    });
  }

  private isDue(): boolean {
    const {follower, clock, instance} = this.dependencies;
    const {logRange, state} = follower;
    return (
      logRange !== undefined &&
      isSnapshotDue(state, instance, clock.wallTime(), logRange, this.schedule)
    );
  }

  private async tryRecord(): Promise<void> {
    try {
      await this.record();
    } catch (error) {
      this.dependencies.logger.warn('snapshot-failed', {
        problem: describeError(error),
      });
    }
  }
}
