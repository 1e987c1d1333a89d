/** Instances that reach the log serve those that do not. */

// Who the other instances are
export {
  type PeerEntry,
  decodePeer,
  encodePeer,
  peerEntrySchema,
} from './peer_entry.js';
export {PeerBook} from './peer_book.js';
export {announcePeer} from './announce_peer.js';

// The log, by oneself or through another
export {
  type AppendCall,
  type PeerPort,
  type SharedLog,
  appendTo,
  withoutFence,
} from './peer_port.js';
export {LogAccess} from './log_access.js';
export {RelayedLog} from './relayed_log.js';

// Over the network
export {WirePeerPort} from './wire_peer_port.js';
export {serveLogs} from './serve_logs.js';
