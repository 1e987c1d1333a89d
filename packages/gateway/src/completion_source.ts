/** Interface through which an instance learns of completions that are not in the log yet. */
import type {Milliseconds} from '@galenavalve/shared';

/** Knows which jobs are complete before the log does, for example in an outage of the log. */
export interface CompletionSource {
  /**
   * Returns whether all tasks of a job have ended as done; false if that is not
   * known within `timeout`. Never rejects.
   */
  isJobDone(jobId: string, timeout: Milliseconds): Promise<boolean>;
}
