/** Reports and holds that instances exchange with their peers. */
import {z} from 'zod';
import {resourceName, term} from '@galenavalve/model';

const instanceName = z.string().min(1).max(100);

/** Schema of the key of a failure domain or a target, such as "domain/north". */
export const heldEntity = z
  .string()
  .regex(/^(domain|target)\/[A-Za-z0-9][A-Za-z0-9._-]*$/);

/**
 * Schema of a hold: a take-out of a domain or target that takes effect by
 * gossip before the log has it. It ends only with a later accepted record.
 */
export const hold = z.strictObject({
  entity: heldEntity,
  /** Operator who took the entity out of service. */
  by: z.string().min(1).max(128),
  /** Idempotency key of the change that takes the entity out. */
  id: z.string().min(1).max(128),
  /** Offset of the take-out's record, once it is appended, or the one up to which its author had read the log. */
  offset: z.int().nonnegative().optional(),
});
/** A take-out that peers know before the log has it. */
export type Hold = z.infer<typeof hold>;

/** Maximum number of holds in one report; higher than the number of failure domains and targets of a cluster. */
export const MAX_HOLDS = 10_000;

/** Schema of an instance report. */
export const instanceReport = z.strictObject({
  instance: instanceName,
  domain: resourceName,
  /** Offset up to which the instance has read the log. */
  offset: z.int().nonnegative(),
  /** Age of the newest proof that the state of the instance is current, in milliseconds. */
  freshnessAgeMs: z.number().nonnegative(),
  /** The domain that the instance schedules, with its term. */
  schedules: z.strictObject({domain: resourceName, term}).optional(),
  /** Time since the last heartbeat of the domain's scheduler, in milliseconds; tells peers that do not receive its heartbeats that it is alive. */
  schedulerHeardAgeMs: z.number().nonnegative().optional(),
  /** Whether the instance is shutting down gracefully. */
  leaving: z.boolean(),
  /** Whether the instance has caught up with the log and may take over roles. */
  ready: z.boolean(),
  /** Racks whose leases the instance renews. */
  racks: z.array(resourceName).max(4096).optional(),
  holds: z.array(hold).max(MAX_HOLDS),
  load: z
    .strictObject({
      queued: z.int().nonnegative(),
      freeAccelerators: z.int().nonnegative(),
    })
    .optional(),
});
/** The state of an instance as it reports it to its peers. */
export type InstanceReport = z.infer<typeof instanceReport>;
