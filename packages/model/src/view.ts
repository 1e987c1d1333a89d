/**
 * What daemons answer to callers and operators over HTTP. Fields that a reader
 * does not know are dropped, so that an older reader understands a newer daemon.
 */
import {z} from 'zod';
import {entity, entityKey} from './inventory.js';
import {assignment, jobPhase, jobRequest, outcome} from './job.js';
import {reason} from './reason.js';

/** Wall-clock time in milliseconds since the Unix epoch. */
const wallTime = z.number();

const count = z.int().nonnegative();

/** The body of an answer that is not a success: a `FailureBody`. */
export const failureView = z.object({
  /** An `ErrorCode`; a newer daemon may send codes that the reader does not know. */
  code: z.string(),
  message: z.string(),
  remedy: z.string().default(''),
  details: z
    .record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
    .default({}),
});
export type FailureView = z.infer<typeof failureView>;

/** One line of a job's history. */
export const historyEntry = z.object({
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: wallTime,
  event: z.string(),
  by: z.string(),
  reason: reason.optional(),
  /** The reason as a sentence. */
  text: z.string().optional(),
});
export type HistoryEntry = z.infer<typeof historyEntry>;

/** A job as its caller sees it: the body of `GET /v1/jobs/:id`. */
export const jobView = z.object({
  jobId: z.string(),
  requestId: z.string(),
  workspace: z.string(),
  domain: z.string(),
  phase: jobPhase,
  urgent: z.boolean(),
  attempts: count,
  submittedAt: wallTime,
  startedAt: wallTime.optional(),
  finishedAt: wallTime.optional(),
  outcome: outcome.optional(),
  /** Outputs of the tasks by task index, for a job that finished. */
  results: z.array(z.unknown()).optional(),
  resultHash: z.string().optional(),
  cancelRequested: z.boolean(),
  /** Latest reason, and the same as a sentence. */
  reason: reason.optional(),
  text: z.string().optional(),
});
export type JobView = z.infer<typeof jobView>;

/** The body of `GET /v1/jobs`. */
export const jobListView = z.object({jobs: z.array(jobView)});
export type JobListView = z.infer<typeof jobListView>;

/** The body of `GET /v1/jobs/:id/explain`. */
export const explanationView = jobView.extend({
  request: jobRequest,
  assignments: z.array(assignment),
  history: z.array(historyEntry),
  /** What the job waits for now, if it waits. */
  waitingFor: reason.optional(),
  waitingText: z.string().optional(),
});
export type ExplanationView = z.infer<typeof explanationView>;

/** The body of `POST /v1/plan`: what would happen to a job that was submitted now. */
export const planView = z.object({
  verdict: z.enum(['starts-now', 'waits', 'never']),
  domain: z.string().optional(),
  assignments: z.array(assignment),
  /** Jobs that would be stopped to make room. */
  victims: z.array(z.string()),
  reasons: z.array(z.object({reason, text: z.string()})),
});
export type PlanView = z.infer<typeof planView>;

/** One guarantee of a workspace, as promised and as it can be met now. */
export const guaranteeView = z.object({
  domain: z.string(),
  level: z.string(),
  promised: count,
  /** Cells that could be reclaimed or are used by the workspace now. */
  satisfiable: count,
});
export type GuaranteeView = z.infer<typeof guaranteeView>;

/** One element of the body of `GET /v1/workspaces`. */
export const workspaceView = z.object({
  id: z.string(),
  version: count,
  weight: z.number(),
  queued: count,
  running: count,
  /** Accelerators in use, within the guarantee and beyond it. */
  acceleratorsGuaranteed: count,
  acceleratorsBorrowed: count,
  guarantees: z.array(guaranteeView),
});
export type WorkspaceView = z.infer<typeof workspaceView>;

/** The body of `GET /v1/workspaces`. */
export const workspaceListView = z.object({
  workspaces: z.array(workspaceView),
});
export type WorkspaceListView = z.infer<typeof workspaceListView>;

/** One target in the body of `GET /v1/inventory`. */
export const targetView = z.object({
  id: z.string(),
  rack: z.string(),
  version: count,
  state: z.string(),
  accelerators: count,
  acceleratorsUsed: count,
  tasks: count,
  condition: z.string(),
});
export type TargetView = z.infer<typeof targetView>;

/** One failure domain in the body of `GET /v1/inventory`. */
export const domainView = z.object({
  id: z.string(),
  region: z.string(),
  version: count,
  state: z.string(),
  /** Instance that schedules the domain, if one does. */
  scheduler: z.string().optional(),
  queued: count,
  running: count,
  targets: z.array(targetView),
});
export type DomainView = z.infer<typeof domainView>;

/** The body of `GET /v1/inventory`. */
export const inventoryView = z.object({
  /** Offset up to which the answering instance has read the log. */
  offset: count,
  /** Milliseconds since the configuration was last known to be current; null when it is not known. */
  freshnessAgeMs: z.number().nullable(),
  domains: z.array(domainView),
});
export type InventoryView = z.infer<typeof inventoryView>;

/** One element of the body of `GET /v1/config`. */
export const entityView = z.object({
  entity: entityKey,
  version: count,
  value: entity,
});
export type EntityView = z.infer<typeof entityView>;

/** The body of `GET /v1/config`: the configuration in force. */
export const configurationView = z.object({
  /** Offset up to which the answering instance has read the log. */
  offset: count,
  entities: z.array(entityView),
});
export type ConfigurationView = z.infer<typeof configurationView>;

/** One change in the body of `GET /v1/config/history`. */
export const changeView = z.object({
  changeId: z.string(),
  author: z.string(),
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: wallTime,
  offset: count,
  accepted: z.boolean(),
  /** Why the change was rejected. */
  problem: z.string().optional(),
  /** Number of entities that the change edits. */
  edits: count,
  /** Keys of the first of them. */
  entities: z.array(z.string()),
});
export type ChangeView = z.infer<typeof changeView>;

/** The body of `GET /v1/config/history`, newest change first. */
export const changeListView = z.object({changes: z.array(changeView)});
export type ChangeListView = z.infer<typeof changeListView>;

/** The body of a successful `POST /v1/config`. */
export const configurationResult = z.object({
  changeId: z.string(),
  offset: count,
  /** New versions by entity key. */
  versions: z.record(z.string(), z.number()),
});
export type ConfigurationResult = z.infer<typeof configurationResult>;
