/** What an instance tells its peers about itself. */
import {z} from 'zod';
import {resourceName, term} from '@galenavalve/model';

const instance = z.string().min(1).max(100);

/** Names a failure domain or a target, such as "domain/north". */
export const heldEntity = z
  .string()
  .regex(/^(domain|target)\/[A-Za-z0-9][A-Za-z0-9._-]*$/);

/**
 * A take-out that is in force at once by gossip, before the log has it. It
 * lapses only by a later accepted record.
 */
export const hold = z.strictObject({
  entity: heldEntity,
  /** Operator who took the entity out. */
  by: z.string().min(1).max(128),
  /** Idempotency key of the change that takes it out. */
  id: z.string().min(1).max(128),
  /** Offset of the record that the hold became, once it was appended. */
  offset: z.int().nonnegative().optional(),
});
export type Hold = z.infer<typeof hold>;

/** Most holds of one report: more than a cluster has failure domains and targets. */
export const MAX_HOLDS = 10_000;

/** The state of an instance. */
export const instanceReport = z.strictObject({
  instance,
  domain: resourceName,
  /** Offset up to which the instance has read the log. */
  offset: z.int().nonnegative(),
  /** Age of the newest proof that its state is current, in milliseconds. */
  freshnessAgeMs: z.number().nonnegative(),
  /** The domain that it schedules, with its term. */
  schedules: z.strictObject({domain: resourceName, term}).optional(),
  /** Time since it last heard its domain's scheduler, in milliseconds; lets those who cannot hear it know that it lives. */
  schedulerHeardAgeMs: z.number().nonnegative().optional(),
  /** It is stopping in a planned way. */
  leaving: z.boolean(),
  /** It has caught up with the log, and may hold roles. */
  ready: z.boolean(),
  /** Racks whose leases it keeps. */
  racks: z.array(resourceName).max(4096).optional(),
  holds: z.array(hold).max(MAX_HOLDS),
  load: z
    .strictObject({
      queued: z.int().nonnegative(),
      freeAccelerators: z.int().nonnegative(),
    })
    .optional(),
});
export type InstanceReport = z.infer<typeof instanceReport>;
