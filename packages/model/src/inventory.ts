/** Cluster configuration: inventory, workspaces and rules, as versioned entities. */
import {z} from 'zod';
import {resourceName} from './job.js';

/** Whether operators let new work start on a part of the inventory. */
export const serviceState = z.enum(['in-service', 'leaving', 'out']);
export type ServiceState = z.infer<typeof serviceState>;

/** A failure domain. */
export const domain = z.strictObject({
  kind: z.literal('domain'),
  id: resourceName,
  region: resourceName,
  state: serviceState.default('in-service'),
});
export type Domain = z.infer<typeof domain>;

/** A back end that runs tasks. */
export const target = z.strictObject({
  kind: z.literal('target'),
  id: resourceName,
  domain: resourceName,
  rack: resourceName,
  /** Base URL of the target's control interface, by IP number. */
  endpoint: z.url(),
  accelerators: z.int().min(0).max(16),
  /** Processor cores. */
  processors: z.number().positive(),
  /** Memory in mebibytes. */
  memoryMb: z.number().positive(),
  /** Largest number of tasks at once. */
  slots: z.int().positive(),
  /** Workspaces that may use the target; absent when all may. */
  permittedWorkspaces: z.array(resourceName).optional(),
  state: serviceState.default('in-service'),
});
export type Target = z.infer<typeof target>;

/** Levels of the capacity hierarchy that a guarantee can name. */
export const cellLevel = z.enum([
  'accelerator',
  'half',
  'target',
  'rack',
  'domain',
]);
export type CellLevel = z.infer<typeof cellLevel>;

/** A promise to a workspace: a number of cells of one level. */
export const guarantee = z.strictObject({
  level: cellLevel,
  count: z.int().positive(),
  /** The failure domain that holds the cells; absent when they are apportioned over all. */
  domain: resourceName.optional(),
});
export type Guarantee = z.infer<typeof guarantee>;

/** A customer with its promises and limits. */
export const workspace = z.strictObject({
  kind: z.literal('workspace'),
  id: resourceName,
  /** Share of capacity relative to other workspaces. */
  weight: z.number().positive().default(1),
  guarantees: z.array(guarantee).default([]),
  /** Largest number of waiting jobs. */
  queueLimit: z.int().positive().default(1000),
  /** Whether an operator approves each job before it starts. */
  requiresApproval: z.boolean().default(false),
  /** Failure domains that the workspace may use; absent when it may use all. */
  permittedDomains: z.array(resourceName).optional(),
});
export type Workspace = z.infer<typeof workspace>;

/** Rules for the whole cluster. */
export const rules = z.strictObject({
  kind: z.literal('rules'),
  id: z.literal('cluster').default('cluster'),
  /** Time that a preempted job gets to save its progress, in seconds. */
  checkpointGraceSeconds: z.number().nonnegative().max(600).default(2),
  /** Waiting time after which a large job gets a place kept, in seconds; six times this is worth one step of priority. */
  ageingSeconds: z.number().positive().default(600),
  /** Longest time that the oldest large job is overtaken by backfill, in seconds. */
  largeJobWaitSeconds: z.number().positive().default(3600),
  /** Failures of different jobs on one target that quarantine it. */
  quarantineFailures: z.int().positive().default(3),
  /** First length of a quarantine, in seconds; doubled at each repetition. */
  quarantineSeconds: z.number().positive().default(60),
  /** Failures of one job on different targets that end it. */
  jobFailures: z.int().positive().default(3),
  /** Whether one workspace may use what others are promised but do not use. */
  borrowing: z.boolean().default(true),
});
export type Rules = z.infer<typeof rules>;

/** One versioned thing in the configuration. */
export const entity = z.discriminatedUnion('kind', [
  domain,
  target,
  workspace,
  rules,
]);
export type Entity = z.infer<typeof entity>;

/** Names an entity, such as "target/w1". */
export const entityKey = z
  .string()
  .regex(/^(domain|target|workspace|rules)\/[A-Za-z0-9][A-Za-z0-9._-]*$/);

/** The key of an entity. */
export function getEntityKey(value: Entity): string {
  return `${value.kind}/${value.id}`;
}

/** A change of one entity. */
export const edit = z.strictObject({
  entity: entityKey,
  /** Version that the change is based on; 0 for an entity that does not exist. */
  baseVersion: z.int().nonnegative(),
  /** The new value; null removes the entity. */
  value: entity.nullable(),
});
export type Edit = z.infer<typeof edit>;

/** Edits that are accepted or rejected together. */
export const configurationChange = z.strictObject({
  /** Idempotency key of the change. */
  changeId: z.string().min(1).max(128),
  author: z.string().min(1).max(128),
  edits: z.array(edit).min(1).max(10_000),
});
export type ConfigurationChange = z.infer<typeof configurationChange>;

/** An entity with its version. */
export interface VersionedEntity {
  version: number;
  value: Entity;
}

/** The configuration in force, by kind and id. */
export interface Configuration {
  readonly domains: ReadonlyMap<string, Domain>;
  readonly targets: ReadonlyMap<string, Target>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  readonly rules: Rules;
}

/** Rules that hold before any are configured. */
export const DEFAULT_RULES: Rules = rules.parse({kind: 'rules'});
