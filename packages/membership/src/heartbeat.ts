/**
 * Heartbeats between peers and their compact encoding.
 *
 * Every heartbeat carries the fields of the instance report that change often.
 * The remaining fields, the details, are sent only until the peer has
 * acknowledged their current version.
 */
import {z} from 'zod';
import type {Instant} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import {
  type Hold,
  type InstanceReport,
  instanceReport,
} from './instance_report.js';

/** Schema of the details. */
const heartbeatDetails = instanceReport
  .omit({
    offset: true,
    freshnessAgeMs: true,
    schedulerHeardAgeMs: true,
    load: true,
    instance: true,
  })
  .extend({
    /** Address at which the sender serves the peer protocol. */
    host: z.string().max(64),
    port: z.int().nonnegative(),
  });

/** The fields of a report that change rarely, and the sender's address. */
export type HeartbeatDetails = z.infer<typeof heartbeatDetails>;

/** One heartbeat. */
export interface Heartbeat {
  /** Time of the sender's local clock, in milliseconds; meaningful only to the sender. */
  sentAt: Instant;
  /** The latest `sentAt` that the sender received from the peer; proves that this heartbeat was made after it. */
  echo?: Instant;
  /** Version of the sender's details, the fields that change rarely. */
  version: number;
  /** Version of the peer's details that the sender has; 0 when it has none. */
  seenVersion: number;
  offset: number;
  freshnessAgeMs: number;
  schedulerHeardAgeMs?: number;
  load?: InstanceReport['load'];
  /** Absent when the peer has acknowledged the current version. */
  details?: HeartbeatDetails;
}

const nonNegativeInteger = z.int().nonnegative();

/** Schema of the wire format: the fields of `Heartbeat` in their order. */
export const compactHeartbeat = z.tuple([
  nonNegativeInteger,
  nonNegativeInteger.nullable(),
  nonNegativeInteger,
  nonNegativeInteger,
  nonNegativeInteger,
  nonNegativeInteger.nullable(),
  nonNegativeInteger.nullable(),
  z.tuple([nonNegativeInteger, nonNegativeInteger]).nullable(),
  heartbeatDetails.nullable(),
]);
/** A heartbeat in the wire format. */
export type CompactHeartbeat = z.infer<typeof compactHeartbeat>;

/** Encodes a heartbeat. Rounds `sentAt` down and ages up, so that no report appears younger than it is. */
export function encodeHeartbeat(heartbeat: Heartbeat): CompactHeartbeat {
  return [
    Math.floor(heartbeat.sentAt),
    heartbeat.echo ?? null,
    heartbeat.version,
    heartbeat.seenVersion,
    heartbeat.offset,
    roundAgeUp(heartbeat.freshnessAgeMs),
    roundAgeUp(heartbeat.schedulerHeardAgeMs ?? Infinity),
    heartbeat.load
      ? [heartbeat.load.queued, heartbeat.load.freeAccelerators]
      : null,
    heartbeat.details ?? null,
  ];
}

/** Decodes a heartbeat. */
export function decodeHeartbeat(compact: CompactHeartbeat): Heartbeat {
  const [
    sentAt,
    echo,
    version,
    seenVersion,
    offset,
    freshnessAgeMs,
    schedulerHeardAgeMs,
    load,
    details,
  ] = compact;
  return {
    sentAt,
    echo: echo ?? undefined,
    version,
    seenVersion,
    offset,
    freshnessAgeMs: freshnessAgeMs ?? Infinity,
    schedulerHeardAgeMs: schedulerHeardAgeMs ?? undefined,
    load: load ? {queued: load[0], freeAccelerators: load[1]} : undefined,
    details: details ?? undefined,
  };
}

/** Returns the details of this instance's report. */
export function toHeartbeatDetails(
  report: InstanceReport,
  {host, port}: PeerAddress,
  holds: readonly Hold[],
): HeartbeatDetails {
  const {domain, schedules, leaving, ready, racks} = report;
  return {
    domain,
    schedules,
    leaving,
    ready,
    racks,
    holds: [...holds],
    host,
    port,
  };
}

/** Restores the report from a heartbeat and the sender's latest details. */
export function toReport(
  instance: string,
  heartbeat: Heartbeat,
  details: HeartbeatDetails,
): InstanceReport {
  const {domain, schedules, leaving, ready, racks, holds} = details;
  const {offset, freshnessAgeMs, schedulerHeardAgeMs, load} = heartbeat;
  return {
    instance,
    domain,
    offset,
    freshnessAgeMs,
    schedules,
    schedulerHeardAgeMs,
    leaving,
    ready,
    racks,
    holds,
    load,
  };
}

/** Rounds an age up to whole milliseconds; null for an infinite age. */
function roundAgeUp(ageMs: number): number | null {
  return Number.isFinite(ageMs) ? Math.ceil(ageMs) : null;
}
