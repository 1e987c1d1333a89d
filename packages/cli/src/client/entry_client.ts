/** What entry instances do for callers and operators. */
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

/** Which jobs to list. */
export interface JobFilter {
  workspace?: string;
  phase?: JobPhase;
  /** Most jobs to list. */
  limit?: number;
}

/**
 * The entry instances of a cluster as one service. Every call throws a
 * `Failure`. For commands, a failure of status 429 or 503 means that nothing
 * was recorded, and `outcome-unknown` that it may have been: the same command
 * can be given again, with the same ids, until the answer is known.
 */
export interface EntryClient {
  // Commands
  /** Submits a job; the answer may come before the job has finished. */
  submit(request: JobRequest, wait: Milliseconds): Promise<JobView>;
  cancel(jobId: string): Promise<JobView>;
  approve(jobId: string, author: string): Promise<JobView>;
  configure(change: ConfigurationChange): Promise<ConfigurationResult>;
  /** Takes a failure domain out of service. */
  drain(domain: string, author: string): Promise<ConfigurationResult>;
  /** Brings a failure domain back into service. */
  restore(domain: string, author: string): Promise<ConfigurationResult>;

  // Queries
  /** Reads a job; the answer is held back for up to `wait` until the job has finished. */
  readJob(jobId: string, wait: Milliseconds): Promise<JobView>;
  listJobs(filter: JobFilter): Promise<JobView[]>;
  explain(jobId: string): Promise<ExplanationView>;
  plan(request: JobRequest): Promise<PlanView>;
  listWorkspaces(): Promise<WorkspaceView[]>;
  readInventory(): Promise<InventoryView>;
  readConfiguration(): Promise<ConfigurationView>;
  /** The latest changes of the configuration, newest first. */
  listChanges(): Promise<ChangeView[]>;
}
