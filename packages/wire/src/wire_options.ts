/** Options of the peer protocol. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits and intervals of one side of the peer protocol. */
export interface WireOptions {
  /** Maximum payload size of frames that are sent or accepted. */
  maxFrameBytes: number;
  /** Maximum number of buffered bytes for a peer that does not read; the connection is closed above it. */
  maxBufferedBytes: number;
  /** Maximum number of concurrent requests of one connection. */
  maxConcurrentRequests: number;
  /** Time without sent messages after which a ping is sent. */
  heartbeatInterval: Milliseconds;
  /** Time without received bytes after which a connection is closed. */
  silenceTimeout: Milliseconds;
  /** Minimum duration of a timed-out call that closes its connection if nothing was received during the call. */
  minSilentCallDuration: Milliseconds;
  /** Timeout for opening a connection and receiving the peer's hello message. */
  connectTimeout: Milliseconds;
  /** Time without calls after which a client closes a connection. */
  idleTimeout: Milliseconds;
  /** Base and maximum of the backoff before a failed connection is reopened. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

/** Default options. */
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

/** Returns `options` completed with the defaults. */
export function applyDefaultOptions(
  options: Partial<WireOptions> = {},
): WireOptions {
  return {...DEFAULT_WIRE_OPTIONS, ...options};
}
