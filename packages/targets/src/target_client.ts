/**
 * Targets as the scheduler sees them. A target arbitrates what runs on it: it
 * refuses a term lower than the highest it has seen, and a start without an
 * unexpired reservation of the same term.
 */
import {z} from 'zod';
import {resourceName, term} from '@galenavalve/model';
import type {Milliseconds} from '@galenavalve/shared';

/** Where a target is reached. */
export interface TargetAddress {
  id: string;
  /** Base URL of the control interface. */
  endpoint: string;
}

/** Names one part of one attempt on one target. */
export const leaseKey = z.strictObject({
  jobId: z.string().min(1).max(100),
  attempt: z.int().positive(),
});
export type LeaseKey = z.infer<typeof leaseKey>;

/** Asks a target to keep room for the tasks of an attempt. */
export const reservation = z.strictObject({
  ...leaseKey.shape,
  term,
  workspace: resourceName,
  firstTask: z.int().nonnegative(),
  tasks: z.int().positive(),
  /** Bit mask of accelerators. */
  accelerators: z.int().nonnegative(),
  /** Of one task. */
  processors: z.number().nonnegative(),
  /** Of one task, in mebibytes. */
  memoryMb: z.number().nonnegative(),
  checkpointable: z.boolean(),
  /** The reservation lapses after this many milliseconds if it is not started or renewed. */
  ttlMs: z.number().positive(),
});
export type Reservation = z.infer<typeof reservation>;

/** A target's answer to a reservation. */
export const grant = z.strictObject({
  /** The target's own monotonic clock in milliseconds; only handed back to it. */
  grantedAt: z.number(),
});
export type Grant = z.infer<typeof grant>;

/**
 * Starts the reserved tasks of an attempt. The target counts the reservation's
 * time to live and the lease from `grantedAt`, which it stamped itself, so
 * that an order that was delayed on its way starts nothing late.
 */
export const startCommand = z.strictObject({
  ...leaseKey.shape,
  term,
  /** The latest grant that the sender has seen. */
  grantedAt: z.number(),
  /** Run time lease in milliseconds: the tasks stop when it is not renewed. */
  leaseMs: z.number().positive(),
  /** Progress to resume from, in seconds. */
  progressSeconds: z.number().nonnegative(),
  payload: z.record(z.string(), z.json()),
});
export type StartCommand = z.infer<typeof startCommand>;

/** Ends an attempt on a target, whether it is reserved or running. */
export const stopCommand = z.strictObject({
  ...leaseKey.shape,
  term,
  /** True to save progress first, if the tasks can. */
  checkpoint: z.boolean(),
  /** Time that the tasks get to save their progress, in milliseconds. */
  graceMs: z.number().nonnegative(),
});
export type StopCommand = z.infer<typeof stopCommand>;

/**
 * Keeps the leases on a target alive, all in one message. A lease is extended
 * to `leaseMs` after `basedOn`, so that a delayed renewal extends nothing
 * beyond what its sender knew.
 */
export const renewal = z.strictObject({
  term,
  /** `clock` of the latest report that the sender has seen; absent when it has seen none, and then nothing is renewed. */
  basedOn: z.number().optional(),
  leaseMs: z.number().positive(),
  /** Leases to renew; those not named lapse. */
  leases: z.array(leaseKey).max(4096),
  /**
   * Digest of the leases that the sender knows of, beyond reservations. If it
   * is the target's own, the report holds only what changed since `basedOn`.
   */
  digest: z.string().max(64).optional(),
  /** Renews every running lease in place of `leases`, if the digest is the target's own. */
  renewsAll: z.boolean().optional(),
  /** Asks for usage too. */
  withUsage: z.boolean().optional(),
  /** Finished leases whose result is recorded: the target may forget them. */
  forget: z.array(leaseKey).max(4096),
});
export type Renewal = z.infer<typeof renewal>;

/** State of the tasks of one attempt on one target. */
export const leaseState = z.enum([
  'reserved',
  'running',
  'succeeded',
  'failed',
  'stopped',
  /** The lease was not renewed in time and the tasks were stopped. */
  'lapsed',
]);
export type LeaseState = z.infer<typeof leaseState>;

/** What a target says of one attempt. */
export const leaseReport = z.strictObject({
  ...leaseKey.shape,
  term,
  state: leaseState,
  firstTask: z.int().nonnegative(),
  tasks: z.int().positive(),
  /** Saved or made progress in seconds. */
  progressSeconds: z.number().nonnegative(),
  /** Outputs by task, in order, once succeeded. */
  results: z.array(z.json()).optional(),
  /** Index of the task that failed. */
  failedTask: z.int().nonnegative().optional(),
  /** Why it failed. */
  problem: z.string().max(500).optional(),
});
export type LeaseReport = z.infer<typeof leaseReport>;

/** Use of one attempt, measured a while ago. */
export const usageReport = z.strictObject({
  ...leaseKey.shape,
  processors: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
});
export type UsageReport = z.infer<typeof usageReport>;

/** What a target says of itself. */
export const targetReport = z.strictObject({
  target: resourceName,
  /** The target's own monotonic clock in milliseconds; only handed back to it. */
  clock: z.number(),
  /** Highest term that the target has seen. */
  term,
  leaving: z.boolean(),
  leases: z.array(leaseReport),
  /** True when leases that have not changed since the sender's `basedOn` are left out. */
  changesOnly: z.boolean().optional(),
  usage: z.array(usageReport),
  /** Age of the usage figures in milliseconds. */
  usageAgeMs: z.number().nonnegative(),
});
export type TargetReport = z.infer<typeof targetReport>;

/**
 * Commands to targets. Each throws `target-refused` when the target said no,
 * and `target-unreachable` when its answer did not come; the command may then
 * have taken effect. Each is idempotent.
 */
export interface TargetClient {
  reserve(
    target: TargetAddress,
    order: Reservation,
    timeout: Milliseconds,
  ): Promise<Grant>;
  start(
    target: TargetAddress,
    order: StartCommand,
    timeout: Milliseconds,
  ): Promise<void>;
  /**
   * Ends an attempt. The report tells what it was: `reserved` proves that no
   * task had started and none will, `running` that tasks still save their
   * progress. Undefined when the target knows nothing of it.
   */
  stop(
    target: TargetAddress,
    order: StopCommand,
    timeout: Milliseconds,
  ): Promise<LeaseReport | undefined>;
  renew(
    target: TargetAddress,
    order: Renewal,
    timeout: Milliseconds,
  ): Promise<TargetReport>;
  /** Makes the target refuse every lower term, and reads back its leases. */
  fence(
    target: TargetAddress,
    order: {term: Renewal['term']},
    timeout: Milliseconds,
  ): Promise<TargetReport>;
  /** Limits an attempt to a share of one processor count. */
  throttle(
    target: TargetAddress,
    order: LeaseKey & {term: Renewal['term']; processors: number},
    timeout: Milliseconds,
  ): Promise<void>;
}
