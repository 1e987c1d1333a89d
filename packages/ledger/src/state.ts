/** The state that all instances fold from the same records. */
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

/** How long a request id is remembered after its job ended. */
export const REQUEST_WINDOW_MS = 24 * 60 * 60 * 1000;

/** Most bytes of JSON of the results that are kept in memory. */
export const MAX_RETAINED_RESULT_BYTES = 8 * 1024 * 1024;

/** Parameters of the fold. They must be the same on every instance. */
export interface LedgerOptions {
  requestWindow: Milliseconds;
  resultBytes: number;
  /**
   * A further check of a configuration before it goes over the one in force: a
   * pure function. It must not depend on the service states of domains and
   * targets: operators can always take them out, and it is not called for that.
   */
  validateConfiguration?: (
    next: Configuration,
    previous: Configuration,
  ) => Failure | undefined;
}

/** The folded state. One loop owns it, and only the fold changes it. */
export class LedgerState {
  /** Offset of the first record that is not folded yet. */
  nextOffset = 0;
  /** Entries that were no valid records. */
  skippedCount = 0;
  readonly options: LedgerOptions;
  /** For the fold. */
  unfinishedJobs = new UnfinishedJobIndex();
  /** For the fold. */
  configurationStore = new ConfigurationStore();
  /** For the fold. */
  finishedJobs: FinishedJobs;
  /** For the fold. */
  withdrawnRequests = new WithdrawnRequests();
  /** For the fold. */
  changeHistory = new ChangeHistory();
  /** For the fold. */
  terms = new Map<string, Term>();
  logTime = new LogTime();
  /** Snapshots that the log holds whole. */
  snapshotTracker = new SnapshotTracker();
  /** Log time of the latest sweep, in whole sweep intervals. For the fold. */
  sweepNumber = 0;

  constructor(options: Partial<LedgerOptions> = {}) {
    this.options = {
      requestWindow: REQUEST_WINDOW_MS,
      resultBytes: MAX_RETAINED_RESULT_BYTES,
      ...options,
    };
    this.finishedJobs = new FinishedJobs(this.options.resultBytes);
  }

  /** Becomes a copy of `other`, which must not be used further. */
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

  /** An immutable snapshot of the configuration; a change replaces it. */
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

  /** Version of an entity; 0 for one that never existed. */
  getEntityVersion(key: string): number {
    return this.configurationStore.getVersion(key);
  }

  getEntity(key: string): VersionedEntity | undefined {
    return this.configurationStore.getEntity(key);
  }

  /** A job by its id. One that has finished is a new object at each call. */
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

  /** Unfinished jobs of a domain: those that are placed or running first. */
  *listUnfinishedJobs(domain: string): Iterable<Job> {
    yield* this.listActiveJobs(domain);
    yield* this.listQueuedJobs(domain);
  }

  /** Waiting jobs of a domain, in the order in which they began to wait. */
  listQueuedJobs(domain: string): Iterable<Job> {
    return this.unfinishedJobs.listQueued(domain);
  }

  /** Placed and running jobs of a domain, in the order in which they were placed. */
  listActiveJobs(domain: string): Iterable<Job> {
    return this.unfinishedJobs.listActive(domain);
  }

  /** Jobs that have ended and are still remembered, earliest end first. */
  listFinishedJobs(): Iterable<Job> {
    return this.finishedJobs.listJobs();
  }

  /** Waiting jobs of a workspace. */
  countQueuedJobs(workspace: string): number {
    return this.unfinishedJobs.countQueuedInWorkspace(workspace);
  }

  /** Term of the latest accepted claim of a domain. */
  getSchedulerTerm(domain: string): Term | undefined {
    return this.terms.get(domain);
  }

  /** The latest configuration changes with their verdicts, newest first. */
  listChanges(limit: number): RecordedChange[] {
    return this.changeHistory.listLatest(limit);
  }
}
