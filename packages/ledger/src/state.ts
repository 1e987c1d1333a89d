/** The state that every instance folds from the same records. */
import type {
  Configuration,
  Domain,
  Target,
  Term,
  VersionedEntity,
  Workspace,
} from '@galenavalve/model';
import type {Failure, Milliseconds} from '@galenavalve/shared';
import {type RecordedChange, ChangeHistory} from './change_history.js';
import {ConfigurationStore} from './configuration_store.js';
import {FinishedJobs} from './finished_jobs.js';
import type {Job} from './job.js';
import {UnfinishedJobIndex} from './unfinished_job_index.js';
import {LogTime} from './log_time.js';
import {SnapshotTracker} from './snapshot/snapshot_tracker.js';
import {WithdrawnRequests} from './withdrawn_requests.js';

/**
 * Request window: how long a request id is kept after its job ended, to
 * recognize copies of the request.
 */
export const REQUEST_WINDOW_MS = 24 * 60 * 60 * 1000;

/** Largest total size of the results that are kept in memory, as JSON. */
export const MAX_RETAINED_RESULT_BYTES = 8 * 1024 * 1024;

/** Parameters of the fold. Every instance must use the same values. */
export interface LedgerOptions {
  /** Request window in milliseconds; `REQUEST_WINDOW_MS` by default. */
  requestWindow: Milliseconds;
  /** Largest total size of the retained results; `MAX_RETAINED_RESULT_BYTES` by default. */
  resultBytes: number;
  /**
   * Additional check of a configuration before it replaces the current one. It
   * must be a pure function, and must not depend on the service states of
   * domains and targets: operators can always take these out of service, and it
   * is not called for such a change.
   */
  validateConfiguration?: (
    next: Configuration,
    previous: Configuration,
  ) => Failure | undefined;
}

/** The folded state. A single loop owns it, and only the fold changes it. */
export class LedgerState {
  /** Offset of the first record that is not folded yet. */
  nextOffset = 0;
  /** Number of entries that were not valid records. */
  skippedCount = 0;
  readonly options: LedgerOptions;
  /** Used only by the fold. */
  unfinishedJobs = new UnfinishedJobIndex();
  /** Used only by the fold. */
  configurationStore = new ConfigurationStore();
  /** Used only by the fold. */
  finishedJobs: FinishedJobs;
  /** Used only by the fold. */
  withdrawnRequests = new WithdrawnRequests();
  /** Used only by the fold. */
  changeHistory = new ChangeHistory();
  /** Used only by the fold. */
  terms = new Map<string, Term>();
  logTime = new LogTime();
  /** Tracks the snapshots whose chunks are all in the log. */
  snapshotTracker = new SnapshotTracker();
  /**
   * Log time of the latest sweep for expired items, in whole sweep intervals.
   * Used only by the fold.
   */
  sweepNumber = 0;

  constructor(options: Partial<LedgerOptions> = {}) {
    this.options = {
      requestWindow: REQUEST_WINDOW_MS,
      resultBytes: MAX_RETAINED_RESULT_BYTES,
      ...options,
    };
    this.finishedJobs = new FinishedJobs(this.options.resultBytes);
  }

  /**
   * Replaces the content with that of `other`, which must not be used
   * afterwards. Keeps its own options.
   */
  replaceWith(other: LedgerState): void {
    const {options} = this;
    Object.assign(this, other, {options});
  }

  /** Adds a job of a snapshot. */
  restoreJob(job: Job): void {
    if (job.phase === 'finished') {
      this.finishedJobs.add(job);
    } else {
      this.unfinishedJobs.add(job);
    }
  }

  /** The current configuration. It is immutable; a change replaces it. */
  get configuration(): Configuration {
    return this.configurationStore.configuration;
  }

  getDomain(id: string): Domain | undefined {
    return this.configuration.domains.get(id);
  }

  getTarget(id: string): Target | undefined {
    return this.configuration.targets.get(id);
  }

  getWorkspace(id: string): Workspace | undefined {
    return this.configuration.workspaces.get(id);
  }

  /** Returns the version of an entity; 0 if it never existed. */
  getEntityVersion(key: string): number {
    return this.configurationStore.getVersion(key);
  }

  getEntity(key: string): VersionedEntity | undefined {
    return this.configurationStore.getEntity(key);
  }

  /** Returns a job by its id. A finished job is a new object on each call. */
  getJob(jobId: string): Job | undefined {
    return this.unfinishedJobs.get(jobId) ?? this.finishedJobs.get(jobId);
  }

  getJobByRequest(requestId: string): Job | undefined {
    return (
      this.unfinishedJobs.getByRequest(requestId) ??
      this.finishedJobs.getByRequest(requestId)
    );
  }

  isWithdrawn(requestId: string): boolean {
    return this.withdrawnRequests.has(requestId);
  }

  /** Lists the unfinished jobs of a domain: placed and running jobs first, then queued ones. */
  *listUnfinishedJobs(domain: string): Iterable<Job> {
    yield* this.listActiveJobs(domain);
    yield* this.listQueuedJobs(domain);
  }

  /** Lists the queued jobs of a domain, in the order in which they were queued. */
  listQueuedJobs(domain: string): Iterable<Job> {
    return this.unfinishedJobs.listQueued(domain);
  }

  /** Lists the placed and running jobs of a domain, in the order of their latest phase change. */
  listActiveJobs(domain: string): Iterable<Job> {
    return this.unfinishedJobs.listActive(domain);
  }

  /** Lists the finished jobs whose request window has not passed, earliest end first. */
  listFinishedJobs(): Iterable<Job> {
    return this.finishedJobs.listJobs();
  }

  /** Counts the queued jobs of a workspace. */
  countQueuedJobs(workspace: string): number {
    return this.unfinishedJobs.countQueuedInWorkspace(workspace);
  }

  /** Returns the term of the latest accepted claim of a domain. */
  getSchedulerTerm(domain: string): Term | undefined {
    return this.terms.get(domain);
  }

  /** Lists the latest configuration changes with their outcomes, newest first. */
  listChanges(limit: number): RecordedChange[] {
    return this.changeHistory.listLatest(limit);
  }
}
