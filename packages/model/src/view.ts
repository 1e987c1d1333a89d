/** What daemons answer to callers and operators over HTTP. */
import type {Assignment, JobPhase, JobRequest, Outcome} from './job.js';
import type {Reason} from './reason.js';

/** One line of a job's history. */
export interface HistoryEntry {
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: number;
  event: string;
  by: string;
  reason?: Reason;
  /** The reason as a sentence. */
  text?: string;
}

/** A job as its caller sees it: the body of `GET /v1/jobs/:id`. */
export interface JobView {
  jobId: string;
  requestId: string;
  workspace: string;
  domain: string;
  phase: JobPhase;
  urgent: boolean;
  attempts: number;
  submittedAt: number;
  startedAt?: number;
  finishedAt?: number;
  outcome?: Outcome;
  /** Outputs of the tasks by task index, for a job that finished. */
  results?: unknown[];
  resultHash?: string;
  cancelRequested: boolean;
  /** Latest reason, and the same as a sentence. */
  reason?: Reason;
  text?: string;
}

/** The body of `GET /v1/jobs/:id/explain`. */
export interface ExplanationView extends JobView {
  request: JobRequest;
  assignments: Assignment[];
  history: HistoryEntry[];
  /** What the job waits for now, if it waits. */
  waitingFor?: Reason;
  waitingText?: string;
}

/** The body of `POST /v1/plan`: what would happen to a job that was submitted now. */
export interface PlanView {
  verdict: 'starts-now' | 'waits' | 'never';
  domain?: string;
  assignments: Assignment[];
  /** Jobs that would be stopped to make room. */
  victims: string[];
  reasons: {reason: Reason; text: string}[];
}

/** One guarantee of a workspace, as promised and as it can be met now. */
export interface GuaranteeView {
  domain: string;
  level: string;
  promised: number;
  /** Cells that could be reclaimed or are used by the workspace now. */
  satisfiable: number;
}

/** One element of the body of `GET /v1/workspaces`. */
export interface WorkspaceView {
  id: string;
  version: number;
  weight: number;
  queued: number;
  running: number;
  /** Accelerators in use, within the guarantee and beyond it. */
  acceleratorsGuaranteed: number;
  acceleratorsBorrowed: number;
  guarantees: GuaranteeView[];
}

/** One target in the body of `GET /v1/inventory`. */
export interface TargetView {
  id: string;
  rack: string;
  version: number;
  state: string;
  accelerators: number;
  acceleratorsUsed: number;
  tasks: number;
  condition: string;
}

/** One failure domain in the body of `GET /v1/inventory`. */
export interface DomainView {
  id: string;
  region: string;
  version: number;
  state: string;
  /** Instance that schedules the domain, if one does. */
  scheduler?: string;
  queued: number;
  running: number;
  targets: TargetView[];
}

/** The body of `GET /v1/inventory`. */
export interface InventoryView {
  /** Offset up to which the answering instance has read the log. */
  offset: number;
  /** Milliseconds since the configuration was last known to be current. */
  freshnessAgeMs: number;
  domains: DomainView[];
}

/** The body of a successful `POST /v1/config`. */
export interface ConfigurationResult {
  changeId: string;
  offset: number;
  versions: Record<string, number>;
}
