/** Records snapshots in the log, well before the records that they replace expire. */
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

/** How often the schedule is looked at. */
const CHECK_INTERVAL_MS = 5000;

/** Time that one chunk may take to be recorded. */
const CHUNK_TIMEOUT_MS = 20_000;

/** What a snapshot writer needs. */
export interface SnapshotWriterDependencies {
  follower: LogFollower;
  writer: LogWriter;
  clock: Clock;
  random: Random;
  logger: Logger;
  instance: string;
  schedule?: Partial<SnapshotSchedule>;
}

/** Records a snapshot whenever this instance is to. */
export class SnapshotWriter {
  private readonly schedule: SnapshotSchedule;

  constructor(private readonly dependencies: SnapshotWriterDependencies) {
    this.schedule = {...DEFAULT_SCHEDULE, ...dependencies.schedule};
  }

  /** Checks the schedule until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS * (0.5 + random.next()), signal);
      if (!signal.aborted && this.isDue()) {
        await this.tryRecord();
      }
    }
  }

  /** Records a snapshot now. Throws what the writer throws. */
  async record(): Promise<void> {
    const {follower, writer, clock, logger, instance} = this.dependencies;
    const snapshotId = `${instance}-${follower.state.nextOffset}-${Math.round(clock.wallTime())}`;
    const snapshot = await encodeStateAsync(follower.state, snapshotId);
    const chunks = createChunks(snapshot);
    // One by one: a large snapshot must not fill the queue before requests.
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
    const {logRange: retention, state} = follower;
    return (
      retention !== undefined &&
      isSnapshotDue(state, instance, clock.wallTime(), retention, this.schedule)
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
