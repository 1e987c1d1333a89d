/** Limits and intervals of the peer protocol. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits and intervals of one end of the peer protocol. */
export interface WireOptions {
  /** Largest frame that is sent or accepted, without its length, in bytes. */
  maxFrameBytes: number;
  /** Most bytes that wait for a peer that does not read; the connection is dropped above it. */
  maxBufferedBytes: number;
  /** Most requests of one connection that are handled at once. */
  maxRequests: number;
  /** Longest time in which an open connection sends nothing. */
  heartbeat: Milliseconds;
  /** Silence of the other end after which a connection is dropped. */
  silence: Milliseconds;
  /** A call of at least this length that times out drops a connection that brought nothing meanwhile. */
  callSilence: Milliseconds;
  /** Time within which a connection must be opened and greeted. */
  connectTimeout: Milliseconds;
  /** A client closes a connection that was not used for this long. */
  idle: Milliseconds;
  /** First and longest wait before a failed connection is opened again. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

/** The options that hold where none are given. */
export const DEFAULT_WIRE_OPTIONS: WireOptions = {
  maxFrameBytes: 1_048_576,
  maxBufferedBytes: 4_194_304,
  maxRequests: 256,
  heartbeat: 1000,
  silence: 3000,
  callSilence: 500,
  connectTimeout: 1000,
  idle: 30_000,
  backoffBase: 100,
  backoffCap: 2000,
};

/** Fills in the options that are not given. */
export function completeOptions(
  options: Partial<WireOptions> = {},
): WireOptions {
  return {...DEFAULT_WIRE_OPTIONS, ...options};
}
