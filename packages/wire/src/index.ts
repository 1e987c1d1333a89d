/** Peer protocol: CBOR messages in TCP frames, with correlation ids, heartbeats and timeouts. */

// Client and server
export type {PeerAddress} from './peer_address.js';
export {DEFAULT_WIRE_OPTIONS, type WireOptions} from './wire_options.js';

// Server
export {
  type PeerHandler,
  PeerServer,
  type PeerServerSettings,
} from './peer_server.js';

// Client
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
export {type ProxyMode, TcpProxy} from './testing/tcp_proxy.js';
