/** Limits and intervals of the peer protocol. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits and intervals of one end of the peer protocol. */
export interface WireOptions {
  /** Largest frame that is sent or accepted, without its length, in bytes. */
  maxFrameBytes: number;
  /** Most bytes that wait for a peer that does not read; the connection is dropped above it. */
  maxBufferedBytes: number;
  /** Most requests of one connection that are handled at once. */
  maxConcurrentRequests: number;
  /** Longest time in which an open connection sends nothing. */
  heartbeatInterval: Milliseconds;
  /** Silence of the other end after which a connection is dropped. */
  silenceTimeout: Milliseconds;
  /** A call of at least this length that times out drops a connection that brought nothing meanwhile. */
  minSilentCallDuration: Milliseconds;
  /** Time within which a connection must be opened and greeted. */
  connectTimeout: Milliseconds;
  /** A client closes a connection that was not used for this long. */
  idleTimeout: Milliseconds;
  /** First and longest wait before a failed connection is opened again. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

/** The options that hold where none are given. */
export const DEFAULT_WIRE_OPTIONS: WireOptions = {
  maxFrameBytes: 1_048_576,
  maxBufferedBytes: 4_194_304,
  maxConcurrentRequests: 256,
  heartbeatInterval: 1000,
  silenceTimeout: 3000,
  minSilentCallDuration: 500,
  connectTimeout: 1000,
  idleTimeout: 30_000,
  backoffBase: 100,
  backoffCap: 2000,
};

/** Fills in the options that are not given. */
export function applyDefaultOptions(
  options: Partial<WireOptions> = {},
): WireOptions {
  return {...DEFAULT_WIRE_OPTIONS, ...options};
}
