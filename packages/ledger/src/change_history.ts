/** Configuration changes with their verdicts. */
import type {FailureBody} from '@galenavalve/shared';

/** Most entity keys that are kept of one change. */
const MAX_KEYS = 20;

/** A configuration change that was decided. */
export interface RecordedChange {
  changeId: string;
  author: string;
  offset: number;
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: number;
  accepted: boolean;
  /** Why it was rejected. */
  problem?: FailureBody;
  /** Number of edits. */
  edits: number;
  /** Keys of the first edited entities. */
  entities: string[];
}

/** Decided changes in log order, for as long as ids are remembered. */
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
      entities: change.entities.slice(0, MAX_KEYS),
    });
  }

  /** The latest changes, newest first. */
  listLatest(limit: number): RecordedChange[] {
    return [...this.byId.values()].reverse().slice(0, limit);
  }

  /** Forgets changes older than `window` at `logTime`, both in milliseconds. */
  removeExpired(logTime: number, window: number): void {
    for (const change of this.byId.values()) {
      if (logTime > change.at + window) {
        this.byId.delete(change.changeId);
      }
    }
  }

  /** Everything, for a snapshot. */
  encode(): RecordedChange[] {
    return [...this.byId.values()];
  }

  /** Takes over the changes of a snapshot. */
  restore(encoded: readonly RecordedChange[]): void {
    for (const change of encoded) {
      this.byId.set(change.changeId, change);
    }
  }
}
