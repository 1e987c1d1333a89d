/**
 * Client interface and messages of targets. A target decides what runs on it: it
 * refuses a term lower than the highest that it has seen, and a start without an
 * unexpired reservation of the same term.
 */
import {z} from 'zod';
import {resourceName, term} from '@galenavalve/model';
import type {Milliseconds} from '@galenavalve/shared';

/** Address of a target. */
export interface TargetAddress {
  id: string;
  /** Base URL of the control interface. */
  endpoint: string;
}

/** Identifies the lease of one attempt on a target. */
export const leaseKey = z.strictObject({
  jobId: z.string().min(1).max(100),
  attempt: z.int().positive(),
});
export type LeaseKey = z.infer<typeof leaseKey>;

/** Reserves capacity of a target for the tasks of an attempt. */
export const reservation = z.strictObject({
  ...leaseKey.shape,
  term,
  workspace: resourceName,
  firstTask: z.int().nonnegative(),
  tasks: z.int().positive(),
  /** Bit mask of accelerators. */
  accelerators: z.int().nonnegative(),
  /** Per task. */
  processors: z.number().nonnegative(),
  /** Per task, in mebibytes. */
  memoryMb: z.number().nonnegative(),
  checkpointable: z.boolean(),
  /** Time in milliseconds after which the reservation expires unless it is started or renewed. */
  ttlMs: z.number().positive(),
});
export type Reservation = z.infer<typeof reservation>;

/** A target's response to a reservation. */
export const grant = z.strictObject({
  /** The target's own monotonic clock in milliseconds; only meaningful to the target. */
  grantedAt: z.number(),
});
export type Grant = z.infer<typeof grant>;

/**
 * Starts the reserved tasks of an attempt. The target counts the reservation's
 * time to live and the lease from `grantedAt`, which is a time of its own clock,
 * so that a command that is delayed in the network starts nothing late.
 */
export const startCommand = z.strictObject({
  ...leaseKey.shape,
  term,
  /** Time of the latest grant that the sender has received. */
  grantedAt: z.number(),
  /** Length of the lease in milliseconds; the tasks stop when it is not renewed. */
  leaseMs: z.number().positive(),
  /** Progress to resume from, in seconds. */
  progressSeconds: z.number().nonnegative(),
  payload: z.record(z.string(), z.json()),
});
export type StartCommand = z.infer<typeof startCommand>;

/** Stops an attempt on a target, whether it is reserved or running. */
export const stopCommand = z.strictObject({
  ...leaseKey.shape,
  term,
  /** Whether progress is saved first, if the tasks are checkpointable. */
  checkpoint: z.boolean(),
  /** Time in which the tasks may save their progress, in milliseconds. */
  graceMs: z.number().nonnegative(),
});
export type StopCommand = z.infer<typeof stopCommand>;

/**
 * Renews leases on a target, all in one message. A lease is extended until
 * `leaseMs` after `basedOn`, so that a delayed renewal extends no lease beyond
 * what the sender's latest report justifies.
 */
export const renewal = z.strictObject({
  term,
  /**
   * `clock` of the latest report that the sender has received; absent before
   * the first one, and then nothing is renewed.
   */
  basedOn: z.number().optional(),
  leaseMs: z.number().positive(),
  /** Leases to renew; the others expire. */
  leases: z.array(leaseKey).max(4096),
  /**
   * Digest of the leases that the sender knows, without reservations. If it
   * equals the target's own, the report holds only changes since `basedOn`.
   */
  digest: z.string().max(64).optional(),
  /** Renews every running lease instead of `leases`, if the digest equals the target's own. */
  renewsAll: z.boolean().optional(),
  /** Requests usage in the report. */
  withUsage: z.boolean().optional(),
  /** Ended leases whose result is recorded; the target may remove them. */
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
  /** The lease expired because it was not renewed in time, and the tasks were stopped. */
  'lapsed',
]);
export type LeaseState = z.infer<typeof leaseState>;

/** A target's report on the lease of one attempt. */
export const leaseReport = z.strictObject({
  ...leaseKey.shape,
  term,
  state: leaseState,
  firstTask: z.int().nonnegative(),
  tasks: z.int().positive(),
  /** Progress in seconds: current while the tasks run, otherwise as saved. */
  progressSeconds: z.number().nonnegative(),
  /** Outputs of the tasks, in their order; present once all of them have succeeded. */
  results: z.array(z.json()).optional(),
  /** Index of the task that failed. */
  failedTask: z.int().nonnegative().optional(),
  /** Why it failed. */
  problem: z.string().max(500).optional(),
});
export type LeaseReport = z.infer<typeof leaseReport>;

/** Usage of one attempt, measured `usageAgeMs` before the report. */
export const usageReport = z.strictObject({
  ...leaseKey.shape,
  processors: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
});
export type UsageReport = z.infer<typeof usageReport>;

/** A target's report on itself and its leases. */
export const targetReport = z.strictObject({
  target: resourceName,
  /** The target's own monotonic clock in milliseconds; only meaningful to the target. */
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
 * Commands to targets. Each fails with `target-refused` when the target refused
 * it, and with `target-unreachable` when no response arrived; the command may then
 * have taken effect. Each is idempotent.
 */
export interface TargetClient {
  reserve(
    target: TargetAddress,
    request: Reservation,
    timeout: Milliseconds,
  ): Promise<Grant>;
  start(
    target: TargetAddress,
    command: StartCommand,
    timeout: Milliseconds,
  ): Promise<void>;
  /**
   * Stops an attempt. The state in the report is `reserved` if no task has started
   * or will start, and `running` while tasks save their progress. Resolves to
   * undefined when the target has no such lease.
   */
  stop(
    target: TargetAddress,
    command: StopCommand,
    timeout: Milliseconds,
  ): Promise<LeaseReport | undefined>;
  renew(
    target: TargetAddress,
    request: Renewal,
    timeout: Milliseconds,
  ): Promise<TargetReport>;
  /** Makes the target refuse every lower term, and returns its leases. */
  fence(
    target: TargetAddress,
    request: {term: Renewal['term']},
    timeout: Milliseconds,
  ): Promise<TargetReport>;
  /** Limits the processors that the tasks of an attempt use on the target, in total. */
  throttle(
    target: TargetAddress,
    request: LeaseKey & {term: Renewal['term']; processors: number},
    timeout: Milliseconds,
  ): Promise<void>;
}
