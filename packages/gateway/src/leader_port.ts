/** Interface through which an instance talks to the leader directly, beside the log. */
import type {StoredRecord} from '@galenavalve/workload';

/** The leader as the gateway knows it. */
export interface LeaderPort {
  /** Passes on a record that is in the log, since the leader may read it later. Does not wait for a response. */
  onAppended(record: StoredRecord): void;
}
