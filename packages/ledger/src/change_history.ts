/** Configuration changes with their outcomes. */
import type {FailureBody} from '@galenavalve/shared';

/** Number of entity keys that are kept for one change. */
const MAX_RETAINED_KEYS = 20;

/** A configuration change that the fold accepted or rejected. */
export interface RecordedChange {
  changeId: string;
  author: string;
  offset: number;
  /** Log time of the record in milliseconds since the Unix epoch. */
  at: number;
  accepted: boolean;
  /** Why it was rejected. */
  problem?: FailureBody;
  /** Number of edits. */
  edits: number;
  /** Keys of the first edited entities. */
  entities: string[];
}

/** Accepted and rejected changes in log order, until the request window has passed. */
export class ChangeHistory {
  private readonly byId = new Map<string, RecordedChange>();

  get size(): number {
    return this.byId.size;
  }

  get(changeId: string): RecordedChange | undefined {
    return this.byId.get(changeId);
  }

  add(change: RecordedChange): void {
    this.byId.set(change.changeId, {
      ...change,
      entities: change.entities.slice(0, MAX_RETAINED_KEYS),
    });
  }

  /** Lists the latest changes, newest first. */
  listLatest(limit: number): RecordedChange[] {
    return [...this.byId.values()].reverse().slice(0, limit);
  }

  /**
   * Removes the changes that are older than `windowMs` at `logTime`, in
   * milliseconds since the Unix epoch.
   */
  removeExpired(logTime: number, windowMs: number): void {
    for (const change of this.byId.values()) {
      if (logTime > change.at + windowMs) {
        this.byId.delete(change.changeId);
      }
    }
  }

  /** Returns all changes, for a snapshot. */
  encode(): RecordedChange[] {
    return [...this.byId.values()];
  }

  /** Adds the changes of a snapshot. */
  restore(encoded: readonly RecordedChange[]): void {
    for (const change of encoded) {
      this.byId.set(change.changeId, change);
    }
  }
}
