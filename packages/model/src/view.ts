/**
 * Schemas of the daemon's HTTP response bodies. Unknown fields are dropped, so
 * that older clients can read the responses of newer daemons.
 */
import {z} from 'zod';
import {entity, entityKey} from './inventory.js';
import {assignment, jobPhase, jobRequest, outcome} from './job.js';
import {reason} from './reason.js';

/** Wall-clock time in milliseconds since the Unix epoch. */
const wallTime = z.number();

/** Number of items, or an offset or version. */
const count = z.int().nonnegative();

/** Body of an error response: a `FailureBody`. */
export const failureView = z.object({
  /** An `ErrorCode`, or a code of a newer daemon that the client does not know. */
  code: z.string(),
  message: z.string(),
  remedy: z.string().default(''),
  details: z
    .record(z.string(), z.union([z.string(), z.number(), z.boolean()]))
    .default({}),
});
export type FailureView = z.infer<typeof failureView>;

/** Entry of a job's history. */
export const historyEntry = z.object({
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: wallTime,
  event: z.string(),
  by: z.string(),
  reason: reason.optional(),
  /** Text of the reason. */
  text: z.string().optional(),
});
export type HistoryEntry = z.infer<typeof historyEntry>;

/** Body of `GET /v1/jobs/:id`: a job as its caller sees it. */
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
  /** Outputs of the tasks by task index, if the job has finished. */
  results: z.array(z.unknown()).optional(),
  resultHash: z.string().optional(),
  cancelRequested: z.boolean(),
  /** Latest reason, and its text. */
  reason: reason.optional(),
  text: z.string().optional(),
});
export type JobView = z.infer<typeof jobView>;

/** Body of `GET /v1/jobs`. */
export const jobListView = z.object({jobs: z.array(jobView)});
export type JobListView = z.infer<typeof jobListView>;

/** Body of `GET /v1/jobs/:id/explain`. */
export const explanationView = jobView.extend({
  request: jobRequest,
  assignments: z.array(assignment),
  history: z.array(historyEntry),
  /** Reason why the job is waiting, if it is. */
  waitingFor: reason.optional(),
  waitingText: z.string().optional(),
});
export type ExplanationView = z.infer<typeof explanationView>;

/** Body of the response to `POST /v1/plan`: the decision for a job if it were submitted now. */
export const planView = z.object({
  verdict: z.enum(['starts-now', 'waits', 'never']),
  domain: z.string().optional(),
  assignments: z.array(assignment),
  /** Jobs that would be stopped to free capacity. */
  victims: z.array(z.string()),
  reasons: z.array(z.object({reason, text: z.string()})),
});
export type PlanView = z.infer<typeof planView>;

/** Guarantee of a workspace: the guaranteed cells, and those that are available to it now. */
export const guaranteeView = z.object({
  domain: z.string(),
  level: z.string(),
  promised: count,
  /** Cells that the workspace uses or could reclaim now. */
  satisfiable: count,
});
export type GuaranteeView = z.infer<typeof guaranteeView>;

/** Workspace in the body of `GET /v1/workspaces`. */
export const workspaceView = z.object({
  id: z.string(),
  version: count,
  weight: z.number(),
  queued: count,
  running: count,
  /** Accelerators in use within the guarantees, and beyond them. */
  acceleratorsGuaranteed: count,
  acceleratorsBorrowed: count,
  guarantees: z.array(guaranteeView),
});
export type WorkspaceView = z.infer<typeof workspaceView>;

/** Body of `GET /v1/workspaces`. */
export const workspaceListView = z.object({
  workspaces: z.array(workspaceView),
});
export type WorkspaceListView = z.infer<typeof workspaceListView>;

/** Target in the body of `GET /v1/inventory`. */
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

/** Failure domain in the body of `GET /v1/inventory`. */
export const domainView = z.object({
  id: z.string(),
  region: z.string(),
  version: count,
  state: z.string(),
  /** Instance that is the domain's scheduler, if any. */
  scheduler: z.string().optional(),
  queued: count,
  running: count,
  targets: z.array(targetView),
});
export type DomainView = z.infer<typeof domainView>;

/** Body of `GET /v1/inventory`. */
export const inventoryView = z.object({
  /** Offset up to which the responding instance has read the log. */
  offset: count,
  /** Milliseconds since the configuration was last known to be current; null if unknown. */
  freshnessAgeMs: z.number().nullable(),
  domains: z.array(domainView),
});
export type InventoryView = z.infer<typeof inventoryView>;

/** Entity in the body of `GET /v1/config`. */
export const entityView = z.object({
  entity: entityKey,
  version: count,
  value: entity,
});
export type EntityView = z.infer<typeof entityView>;

/** Body of `GET /v1/config`: the current configuration. */
export const configurationView = z.object({
  /** Offset up to which the responding instance has read the log. */
  offset: count,
  entities: z.array(entityView),
});
export type ConfigurationView = z.infer<typeof configurationView>;

/** Change in the body of `GET /v1/config/history`. */
export const changeView = z.object({
  changeId: z.string(),
  author: z.string(),
  /** Wall-clock time of the writer in milliseconds since the Unix epoch. */
  at: wallTime,
  offset: count,
  accepted: z.boolean(),
  /** Reason why the change was rejected. */
  problem: z.string().optional(),
  /** Number of entities that the change edits. */
  edits: count,
  /** Keys of the first of these entities. */
  entities: z.array(z.string()),
});
export type ChangeView = z.infer<typeof changeView>;

/** Body of `GET /v1/config/history`, newest change first. */
export const changeListView = z.object({changes: z.array(changeView)});
export type ChangeListView = z.infer<typeof changeListView>;

/** Body of the response to a successful `POST /v1/config`. */
export const configurationResult = z.object({
  changeId: z.string(),
  offset: count,
  /** New versions, by entity key. */
  versions: z.record(z.string(), z.number()),
});
export type ConfigurationResult = z.infer<typeof configurationResult>;
