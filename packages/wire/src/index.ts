/** TCP frames with cbor-x: correlation, heartbeats and deadlines. */

// Both ends
export type {PeerAddress} from './peer_address.js';
export {DEFAULT_WIRE_OPTIONS, type WireOptions} from './wire_options.js';

// The end that answers
export {
  type PeerHandler,
  PeerServer,
  type PeerServerSettings,
} from './peer_server.js';

// The end that asks
export {PeerClient} from './peer_client.js';
export type {PeerClientSettings} from './peer_link.js';

// Frames and messages
export {FRAME_HEADER_BYTES, FrameDecoder, encodeFrame} from './frame.js';
export {
  type Message,
  WIRE_VERSION,
  decodeMessage,
  encodeMessage,
} from './message.js';

// For tests
export {type RelayMode, TcpProxy} from './testing/tcp_proxy.js';
