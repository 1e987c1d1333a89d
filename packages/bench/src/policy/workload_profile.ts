/** Kinds of jobs and sizes of the clusters that the policy benchmark plays. */
import * as z from 'zod';

/** Schema of one kind of job; each kind has a queue of its own. */
const jobKindSchema = z.object({
  name: z.string(),
  /** 0 is urgent. */
  priority: z.number().int().nonnegative(),
  /** Mean number of submissions per second and cluster. */
  perSecond: z.number().positive(),
  /** Value of a job of mean size that ends on time, and of one that ends late. */
  value: z.number().positive(),
  lateValue: z.number().nonnegative(),
  stretch: z.number().positive(),
  latencyMs: z.number().nonnegative(),
  maxAttempts: z.number().int().positive(),
  /** Work of one task on an unimpaired target: mean and longest, in milliseconds, and relative spread. */
  workMs: z.object({mean: z.number(), max: z.number(), spread: z.number()}),
  /** Largest relative difference of two tasks of a step. */
  unevenness: z.number(),
  /** Largest relative error of the caller's estimate. */
  estimateError: z.number(),
  /** Number of tasks in a step: mean and highest. */
  tasks: z.object({mean: z.number(), max: z.number()}),
  /** Probability that a second step depends on the first. */
  secondStepShare: z.number(),
  isGang: z.boolean(),
  /** Shares of steps that are rack-sensitive, that save their progress, and of tasks that fail once. */
  rackSensitiveShare: z.number(),
  savesShare: z.number(),
  failureShare: z.number(),
  /** Share of jobs that can never succeed. */
  hopelessShare: z.number(),
  /** Share of jobs that are cancelled while they run. */
  cancelShare: z.number(),
  /** Demand of a task; its accelerators are one of `accelerators`. */
  cpu: z.number().int(),
  memoryMb: z.number().int(),
  accelerators: z.array(z.number().int()),
});

/** One kind of job. */
export type JobKind = z.infer<typeof jobKindSchema>;

/** Schema of a cluster and the load on it. */
export const workloadProfileSchema = z.object({
  name: z.string(),
  targets: z.number().int(),
  targetsPerRack: z.number().int(),
  domains: z.number().int(),
  target: z.object({
    cpu: z.number().int(),
    memoryMb: z.number().int(),
    accelerators: z.number().int(),
  }),
  workspaces: z.number().int(),
  /** Accelerators that each workspace is guaranteed for urgent jobs. */
  guaranteedAccelerators: z.number().int(),
  kinds: z.array(jobKindSchema),
});

/** A cluster and the load on it. */
export type WorkloadProfile = z.infer<typeof workloadProfileSchema>;

const GANG_ACCELERATORS = [1, 2, 4, 8, 8];

/** Interactive exports, wide merges and archive batches on small and larger clusters. */
export const PROFILES: readonly WorkloadProfile[] = [
  createProfile('small', 32, 6, 4, {export: 1.55, merge: 0.64, batch: 0.48}, 1),
  createProfile('wide', 96, 12, 4, {export: 2.4, merge: 0.7, batch: 0.56}, 2),
];

function createProfile(
  name: string,
  targets: number,
  targetsPerRack: number,
  workspaces: number,
  perSecond: {export: number; merge: number; batch: number},
  widthFactor: number,
): WorkloadProfile {
  return workloadProfileSchema.parse({
    name,
    targets,
    targetsPerRack,
    domains: 4,
    target: {cpu: 32_000, memoryMb: 131_072, accelerators: 8},
    workspaces,
    guaranteedAccelerators: Math.round((targets * 8 * 0.25) / workspaces),
    kinds: [
      {
        name: 'export',
        priority: 0,
        perSecond: perSecond.export,
        value: 4,
        lateValue: 0.8,
        stretch: 1.5,
        latencyMs: 250,
        maxAttempts: 3,
        workMs: {mean: 2500, max: 8000, spread: 0.5},
        unevenness: 0.3,
        estimateError: 0.5,
        tasks: {mean: 3 * widthFactor, max: 20 * widthFactor},
        secondStepShare: 0,
        isGang: true,
        rackSensitiveShare: 0.8,
        savesShare: 0,
        failureShare: 0.01,
        hopelessShare: 0,
        cancelShare: 0,
        cpu: 3700,
        memoryMb: 15_000,
        accelerators: GANG_ACCELERATORS,
      },
      {
        name: 'merge',
        priority: 1,
        perSecond: perSecond.merge,
        value: 3,
        lateValue: 0.9,
        stretch: 3,
        latencyMs: 1000,
        maxAttempts: 3,
        workMs: {mean: 8500, max: 11_000, spread: 0.3},
        unevenness: 0.3,
        estimateError: 0.2,
        tasks: {mean: 5 * widthFactor, max: 20 * widthFactor},
        secondStepShare: 0,
        isGang: true,
        rackSensitiveShare: 0.6,
        savesShare: 0.45,
        failureShare: 0.005,
        hopelessShare: 0.01,
        cancelShare: 0.05,
        cpu: 13_000,
        memoryMb: 60_000,
        accelerators: GANG_ACCELERATORS,
      },
      {
        name: 'batch',
        priority: 2,
        perSecond: perSecond.batch,
        value: 1,
        lateValue: 0.3,
        stretch: 3,
        latencyMs: 3000,
        maxAttempts: 4,
        workMs: {mean: 9500, max: 11_000, spread: 0.3},
        unevenness: 0.3,
        estimateError: 0.5,
        tasks: {mean: 14 * widthFactor, max: 60 * widthFactor},
        secondStepShare: 0.3,
        isGang: false,
        rackSensitiveShare: 0,
        savesShare: 0.45,
        failureShare: 0.01,
        hopelessShare: 0,
        cancelShare: 0.15,
        cpu: 2800,
        memoryMb: 8200,
        accelerators: [1],
      },
    ],
  });
}
