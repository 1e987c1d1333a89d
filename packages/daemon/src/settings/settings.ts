/** Schema of the settings of a daemon. The settings file is JSON with comments. */
import {z} from 'zod';
import {resourceName} from '@galenavalve/model';

const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const port = z.int().min(0).max(65_535);

const endpoint = z.strictObject({
  /** IP address to listen on. */
  host: ipAddress,
  port,
});

const seedPeer = z.strictObject({
  instance: resourceName,
  domain: resourceName,
  host: ipAddress,
  port,
});

const limits = z.strictObject({
  /** Maximum number of records of this instance that wait to be appended to the log. */
  pendingAppends: z.int().positive().default(2_000),
  /** Maximum number of requests that are kept open until their job has finished. */
  heldCallers: z.int().positive().default(5_000),
  /** Maximum number of appends per second to the log, divided evenly among the alive instances. */
  appendsPerSecond: z.number().positive().default(240),
});

const timings = z.strictObject({
  /** Maximum age of the newest freshness proof at which work may start, in milliseconds. */
  freshnessMs: z.int().positive().default(2_000),
  /** Maximum time for which the log holds a read that waits for new records, in milliseconds. */
  logWaitMs: z.int().positive().default(700),
  /** Timeout of a call to the platform, in milliseconds. */
  platformTimeoutMs: z.int().positive().default(2_000),
  /** Time after which the caller of an unfinished append is told that its outcome is unknown, in milliseconds. */
  appendTimeoutMs: z.int().positive().default(5_000),
  /** Time between two heartbeats to a peer of the own failure domain, in milliseconds. */
  heartbeatMs: z.int().positive().default(500),
  /** Time without a heartbeat after which a peer of the own failure domain is suspected, in milliseconds. */
  suspectMs: z.int().positive().default(1_600),
  /** Time after which a reservation expires, in milliseconds. */
  reservationMs: z.int().positive().default(2_000),
  /** Time for which a target keeps tasks running without a lease renewal, in milliseconds. */
  leaseMs: z.int().positive().default(6_000),
  /** Time between two lease renewals, in milliseconds. */
  renewMs: z.int().positive().default(2_000),
  /** Timeout of a call to a target, in milliseconds. */
  targetTimeoutMs: z.int().positive().default(1_000),
  /** Maximum time that a graceful shutdown waits for requests, in milliseconds. */
  drainMs: z.int().positive().default(10_000),
});

/** Schema of the settings file. */
export const settings = z.strictObject({
  /** Unique name of this instance. */
  instance: resourceName,
  /** Failure domain of this instance. */
  domain: resourceName,
  http: endpoint,
  peer: endpoint,
  platform: z.strictObject({
    /** Base URL of the log service. */
    logUrl: z.url(),
    /** Base URL of the instance list service. */
    instanceListUrl: z.url(),
  }),
  /** Peers to contact before the instance list has been read. */
  seeds: z.array(seedPeer).default([]),
  limits: limits.prefault({}),
  timings: timings.prefault({}),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});
/** The settings of a daemon. */
export type Settings = z.infer<typeof settings>;
