/** Client interface of the entry instances, for callers and operators. */
import type {
  ChangeView,
  ConfigurationChange,
  ConfigurationResult,
  ConfigurationView,
  ExplanationView,
  InventoryView,
  JobPhase,
  JobRequest,
  JobView,
  PlanView,
  WorkspaceView,
} from '@galenavalve/model';
import type {Milliseconds} from '@galenavalve/shared';

/** Selects the jobs to list. */
export interface JobFilter {
  workspace?: string;
  phase?: JobPhase;
  /** Maximum number of jobs to list. */
  limit?: number;
}

/**
 * Client of the entry instances of a cluster. Every call throws a `Failure` when
 * it does not succeed. For a command, status 429 or 503 means that nothing was
 * recorded. `outcome-unknown` means that the command may have been recorded: it
 * can be retried with the same ids until its outcome is known.
 */
export interface EntryClient {
  // Commands
  /**
   * Submits a job; resolves when it has finished, or after at most `waitMs`
   * with its current state.
   */
  submit(request: JobRequest, waitMs: Milliseconds): Promise<JobView>;
  /** Requests the cancellation of a job. */
  cancel(jobId: string): Promise<JobView>;
  /** Approves a job of a workspace that requires approval. */
  approve(jobId: string, author: string): Promise<JobView>;
  /** Applies a configuration change, all of its edits or none. */
  configure(change: ConfigurationChange): Promise<ConfigurationResult>;
  /** Takes a failure domain out of service. */
  drain(domain: string, author: string): Promise<ConfigurationResult>;
  /** Brings a failure domain back into service. */
  restore(domain: string, author: string): Promise<ConfigurationResult>;

  // Queries
  /**
   * Reads a job; resolves when it has finished, or after at most `waitMs` with
   * its current state.
   */
  readJob(jobId: string, waitMs: Milliseconds): Promise<JobView>;
  /** Lists the jobs that match a filter. */
  listJobs(filter: JobFilter): Promise<JobView[]>;
  /** Reads a job with its history and the reason for which it waits. */
  explain(jobId: string): Promise<ExplanationView>;
  /** Computes what would happen to a job, without submitting it. */
  plan(request: JobRequest): Promise<PlanView>;
  /** Lists workspaces with their guarantees. */
  listWorkspaces(): Promise<WorkspaceView[]>;
  /** Reads failure domains and targets. */
  readInventory(): Promise<InventoryView>;
  /** Reads the current configuration. */
  readConfiguration(): Promise<ConfigurationView>;
  /** Lists the latest configuration changes, newest first. */
  listChanges(): Promise<ChangeView[]>;
}
