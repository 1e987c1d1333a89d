/**
 * Keeps the leader's jobs within the limit of open tasks: jobs beyond it wait
 * in the form in which every instance has them, without units. Instances accept
 * jobs by what they have read, so together they may accept more than the limit.
 */
import {
  type AcceptedJob,
  type JobEntry,
  type OpenTaskLimit,
  WorkspaceTotals,
  countOpenTasks,
} from '@galenavalve/workload';

/** Jobs that wait until other jobs have ended. */
export class DeferredJobs {
  private readonly deferred = new Map<string, JobEntry>();
  /** Tasks of the jobs that have units, by workspace. */
  private readonly openTasks = new WorkspaceTotals();
  /** Whether a job has ended since the deferred ones were last considered. */
  private hasNewRoom = false;

  /** Nothing is deferred without a limit. */
  constructor(private readonly limit?: OpenTaskLimit) {}

  /** Number of deferred jobs. */
  get size(): number {
    return this.deferred.size;
  }

  /**
   * Defers a job that exceeds the limit; returns whether it did. Jobs of which
   * the log has progress are never deferred: their runs may be alive.
   */
  defer(entry: JobEntry): boolean {
    const isNew =
      !entry.progress && !entry.isCancelled && !entry.isKnownComplete;
    if (!isNew || this.fits(entry.job)) {
      return false;
    }
    this.deferred.set(entry.id, entry);
    return true;
  }

  /** Called when units are created for a job. */
  onAdded({workspace, spec}: AcceptedJob): void {
    this.openTasks.add(workspace, countOpenTasks(spec));
  }

  /** Called when a job with units has ended. */
  onRemoved({workspace, spec}: AcceptedJob): void {
    this.openTasks.add(workspace, -countOpenTasks(spec));
    this.hasNewRoom = true;
  }

  /** Removes and returns a deferred job. */
  take(id: string): JobEntry | undefined {
    const entry = this.deferred.get(id);
    this.deferred.delete(id);
    return entry;
  }

  /** Lists the deferred jobs in the order in which they get room; none if no job has ended since the last call. */
  listDue(): JobEntry[] {
    if (!this.hasNewRoom) {
      return [];
    }
    this.hasNewRoom = false;
    return [...this.deferred.values()].sort(
      ({job: a}, {job: b}) =>
        a.terms.priority - b.terms.priority || a.acceptedAt - b.acceptedAt,
    );
  }

  /** A job larger than the limit fits if it is alone. */
  fits({workspace, spec}: AcceptedJob): boolean {
    if (!this.limit || this.openTasks.get() === 0) {
      return true;
    }
    const tasks = countOpenTasks(spec);
    return (
      this.openTasks.get() + tasks <= this.limit.total &&
      this.openTasks.get(workspace) + tasks <= this.limit.perWorkspace
    );
  }
}
