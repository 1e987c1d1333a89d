/**
 * Heartbeats between peers, in a compact form.
 *
 * Every beat carries what changes all the time. The rest of the report, the
 * details, is sent only until the other end has seen its present version.
 */
import {z} from 'zod';
import type {Instant} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import {
  type Hold,
  type InstanceReport,
  instanceReport,
} from './instance_report.js';

/** What a peer learns besides the report. */
const beatDetails = instanceReport
  .omit({
    offset: true,
    freshnessAgeMs: true,
    schedulerHeardAgeMs: true,
    load: true,
    instance: true,
  })
  .extend({
    /** Where the sender serves the peer protocol. */
    host: z.string().max(64),
    port: z.int().nonnegative(),
  });

/** The slowly changing part of a report, and the sender's address. */
export type HeartbeatDetails = z.infer<typeof beatDetails>;

/** One heartbeat. */
export interface Heartbeat {
  /** The sender's local time; only the sender understands it. */
  sentAt: Instant;
  /** The latest `sentAt` that the sender received from the other end: proves that this beat was made after it. */
  echo?: Instant;
  /** Version of the sender's details; 0 is none. */
  version: number;
  /** Version of the other end's details that the sender has. */
  seenVersion: number;
  offset: number;
  freshnessAgeMs: number;
  schedulerHeardAgeMs?: number;
  load?: InstanceReport['load'];
  /** Absent when the other end has the present version. */
  details?: HeartbeatDetails;
}

const count = z.int().nonnegative();

/** The form on the wire: the fields of `Beat` in their order. */
export const compactHeartbeat = z.tuple([
  count,
  count.nullable(),
  count,
  count,
  count,
  count.nullable(),
  count.nullable(),
  z.tuple([count, count]).nullable(),
  beatDetails.nullable(),
]);
export type CompactHeartbeat = z.infer<typeof compactHeartbeat>;

/** Puts a beat into the form on the wire. Times are rounded to the safe side. */
export function encodeHeartbeat(beat: Heartbeat): CompactHeartbeat {
  return [
    Math.floor(beat.sentAt),
    beat.echo ?? null,
    beat.version,
    beat.seenVersion,
    beat.offset,
    roundAge(beat.freshnessAgeMs),
    roundAge(beat.schedulerHeardAgeMs ?? Infinity),
    beat.load ? [beat.load.queued, beat.load.freeAccelerators] : null,
    beat.details ?? null,
  ];
}

/** Reads a beat from the form on the wire. */
export function decodeHeartbeat(compact: CompactHeartbeat): Heartbeat {
  const [
    sentAt,
    echo,
    version,
    seenVersion,
    offset,
    age,
    heard,
    load,
    details,
  ] = compact;
  return {
    sentAt,
    echo: echo ?? undefined,
    version,
    seenVersion,
    offset,
    freshnessAgeMs: age ?? Infinity,
    schedulerHeardAgeMs: heard ?? undefined,
    load: load ? {queued: load[0], freeAccelerators: load[1]} : undefined,
    details: details ?? undefined,
  };
}

/** The details of this instance's report. */
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

/** The report that a beat stands for, given the sender's latest details. */
export function toReport(
  instance: string,
  beat: Heartbeat,
  details: HeartbeatDetails,
): InstanceReport {
  const {domain, schedules, leaving, ready, racks, holds} = details;
  const {offset, freshnessAgeMs, schedulerHeardAgeMs, load} = beat;
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

function roundAge(age: number): number | null {
  return Number.isFinite(age) ? Math.ceil(age) : null;
}
