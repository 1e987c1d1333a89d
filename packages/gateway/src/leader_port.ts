/** Interface through which an instance talks to the leader directly, beside the log. */
import type {Milliseconds} from '@galenavalve/shared';
import type {StoredRecord} from '@galenavalve/workload';

/** The leader as the gateway knows it. */
export interface LeaderPort {
  /**
   * Returns whether all tasks of a job have ended as done, which the leader
   * knows before the log does; false if that is not known within `timeout`.
   * Never rejects.
   */
  isJobDone(jobId: string, timeout: Milliseconds): Promise<boolean>;
  /** Passes on a record that is in the log, since the leader may read it later. Does not wait for a response. */
  onAppended(record: StoredRecord): void;
}
