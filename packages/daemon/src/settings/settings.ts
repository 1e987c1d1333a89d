/** The settings of one process. The file is JSON with comments. */
import {z} from 'zod';
import {resourceName} from '@galenavalve/model';

const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(0).max(65_535);

const endpoint = z.strictObject({
  /** IP number to listen on. */
  host: ipAddress,
  port,
});

const seed = z.strictObject({
  instance: resourceName,
  domain: resourceName,
  host: ipAddress,
  port,
});

const limits = z.strictObject({
  /** Jobs and configuration changes of this instance that may wait for the log. */
  pendingAppends: z.int().positive().default(2_000),
  /** Callers that may be held for an answer. */
  heldCallers: z.int().positive().default(5_000),
  /** Appends a second that the log takes from all instances together; the live ones share them. */
  appendsPerSecond: z.number().positive().default(240),
});

const timings = z.strictObject({
  /** Longest age of the configuration at which work may start, in milliseconds. */
  freshnessMs: z.int().positive().default(2_000),
  /** How long the log may hold a read back, in milliseconds. */
  logWaitMs: z.int().positive().default(700),
  /** After how long a call to the platform is given up, in milliseconds. */
  platformTimeoutMs: z.int().positive().default(2_000),
  /** How long an append may take before its caller is told that the outcome is unknown, in milliseconds. */
  appendTimeoutMs: z.int().positive().default(5_000),
  /** Time between two heartbeats to a peer, in milliseconds. */
  heartbeatMs: z.int().positive().default(500),
  /** Silence after which a peer is suspected, in milliseconds. */
  suspectMs: z.int().positive().default(1_600),
  /** How long a reservation lasts, in milliseconds. */
  reservationMs: z.int().positive().default(2_000),
  /** How long a target keeps tasks running without renewal, in milliseconds. */
  leaseMs: z.int().positive().default(6_000),
  /** Time between two renewals, in milliseconds. */
  renewMs: z.int().positive().default(2_000),
  /** After how long a call to a target is given up, in milliseconds. */
  targetTimeoutMs: z.int().positive().default(1_000),
  /** Longest time that a planned stop waits for callers, in milliseconds. */
  drainMs: z.int().positive().default(10_000),
});

/** Everything that a process is told at its start. */
export const settings = z.strictObject({
  /** Unique name of this instance. */
  instance: resourceName,
  /** Failure domain that the instance lies in. */
  domain: resourceName,
  http: endpoint,
  peer: endpoint,
  platform: z.strictObject({
    /** Base URL of the log service. */
    logUrl: z.url(),
    /** Base URL of the list of instances. */
    instanceListUrl: z.url(),
  }),
  /** Peers to contact before the list of instances has been read. */
  seeds: z.array(seed).default([]),
  limits: limits.prefault({}),
  timings: timings.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
export type Settings = z.infer<typeof settings>;
