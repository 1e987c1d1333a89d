/** Schemas of the cluster configuration: inventory, workspaces and rules, as versioned entities. */
import {z} from 'zod';
import {resourceName} from './job.js';

/** Service state of a failure domain or target, as set by operators. `leaving` and `out` take no new work. */
export const serviceState = z.enum(['in-service', 'leaving', 'out']);
export type ServiceState = z.infer<typeof serviceState>;

/** Failure domain: targets that can fail together. */
export const domain = z.strictObject({
  kind: z.literal('domain'),
  id: resourceName,
  region: resourceName,
  state: serviceState.default('in-service'),
});
export type Domain = z.infer<typeof domain>;

/** Machine that runs tasks. */
export const target = z.strictObject({
  kind: z.literal('target'),
  id: resourceName,
  domain: resourceName,
  rack: resourceName,
  /** Base URL of the target's control interface, with an IP address as host. */
  endpoint: z.url(),
  accelerators: z.int().min(0).max(16),
  /** Processor cores. */
  processors: z.number().positive(),
  /** Memory in mebibytes. */
  memoryMb: z.number().positive(),
  /** Maximum number of concurrent tasks. */
  slots: z.int().positive(),
  /** Workspaces that may use the target; all if absent. */
  permittedWorkspaces: z.array(resourceName).optional(),
  state: serviceState.default('in-service'),
});
export type Target = z.infer<typeof target>;

/** Levels of the capacity hierarchy, whose parts are cells: an accelerator, half a target, a target, a rack, a domain. */
export const cellLevel = z.enum([
  'accelerator',
  'half',
  'target',
  'rack',
  'domain',
]);
export type CellLevel = z.infer<typeof cellLevel>;

/** Guarantee: a number of cells of one level that a workspace can always get back. */
export const guarantee = z.strictObject({
  level: cellLevel,
  count: z.int().positive(),
  /** Failure domain of the cells; if absent, they are apportioned over all domains. */
  domain: resourceName.optional(),
});
export type Guarantee = z.infer<typeof guarantee>;

/** Customer with its guarantees and limits. */
export const workspace = z.strictObject({
  kind: z.literal('workspace'),
  id: resourceName,
  /** Share of capacity relative to other workspaces. */
  weight: z.number().positive().default(1),
  guarantees: z.array(guarantee).default([]),
  /** Maximum number of waiting jobs. */
  queueLimit: z.int().positive().default(1000),
  /** Whether each job needs the approval of an operator before it starts. */
  requiresApproval: z.boolean().default(false),
  /** Failure domains that the workspace may use; all if absent. */
  permittedDomains: z.array(resourceName).optional(),
});
export type Workspace = z.infer<typeof workspace>;

/** Scheduling rules of the whole cluster. */
export const rules = z.strictObject({
  kind: z.literal('rules'),
  id: z.literal('cluster').default('cluster'),
  /** Time in seconds that a preempted job gets to save its progress. */
  checkpointGraceSeconds: z.number().nonnegative().max(600).default(2),
  /** Waiting time in seconds after which a large job gets a reservation; six times this time raises a job's priority by one step. */
  ageingSeconds: z.number().positive().default(600),
  /** Maximum time in seconds for which backfill may start jobs ahead of the oldest large job. */
  largeJobWaitSeconds: z.number().positive().default(3600),
  /** Number of different jobs whose failures on one target quarantine it. */
  quarantineFailures: z.int().positive().default(3),
  /** Duration in seconds of the first quarantine; it doubles with each repetition. */
  quarantineSeconds: z.number().positive().default(60),
  /** Number of different targets on which failures of one job end it. */
  jobFailures: z.int().positive().default(3),
  /** Whether a workspace may borrow guaranteed capacity that other workspaces do not use. */
  borrowing: z.boolean().default(true),
});
export type Rules = z.infer<typeof rules>;

/** Entity: a versioned item of the configuration. */
export const entity = z.discriminatedUnion('kind', [
  domain,
  target,
  workspace,
  rules,
]);
export type Entity = z.infer<typeof entity>;

/** Key of an entity, such as "target/w1". */
export const entityKey = z
  .string()
  .regex(/^(domain|target|workspace|rules)\/[A-Za-z0-9][A-Za-z0-9._-]*$/);

/** Returns the key of an entity. */
export function getEntityKey(value: Entity): string {
  return `${value.kind}/${value.id}`;
}

/** Change of one entity. */
export const edit = z.strictObject({
  entity: entityKey,
  /** Version that the change is based on; 0 for a new entity. */
  baseVersion: z.int().nonnegative(),
  /** New value; null removes the entity. */
  value: entity.nullable(),
});
export type Edit = z.infer<typeof edit>;

/** Edits that are accepted or rejected as a whole. */
export const configurationChange = z.strictObject({
  /** Idempotency key of the change. */
  changeId: z.string().min(1).max(128),
  author: z.string().min(1).max(128),
  edits: z.array(edit).min(1).max(10_000),
});
export type ConfigurationChange = z.infer<typeof configurationChange>;

/** Entity with its version. */
export interface VersionedEntity {
  version: number;
  value: Entity;
}

/** Current configuration, by kind and id. */
export interface Configuration {
  readonly domains: ReadonlyMap<string, Domain>;
  readonly targets: ReadonlyMap<string, Target>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly rules: Rules;
}

/** Rules that apply until some are configured. */
export const DEFAULT_RULES: Rules = rules.parse({kind: 'rules'});
