/** Access to the log through a peer: instances that reach the log serve those that do not. */

// Directory of peers
export {
  type PeerEntry,
  decodePeer,
  encodePeer,
  peerEntrySchema,
} from './peer_entry.js';
export {PeerDirectory} from './peer_directory.js';
export {announcePeer} from './announce_peer.js';

// The log, directly or through a peer
export {
  type AppendCall,
  type PeerLogClient,
  type SharedLog,
  appendTo,
  toUnfencedOutcome,
} from './peer_log_client.js';
export {LogPathTracker} from './log_path_tracker.js';
export {type LogPing, PathProbe} from './path_probe.js';
export {RelayedLog} from './relayed_log.js';

// The leader
export {
  LeaderClient,
  type LeaderServices,
  type PeerJobClient,
} from './leader_client.js';

// Peer protocol
export {WirePeerJobClient, serveJobs} from './leader_client.js';
export {WirePeerLogClient} from './wire_peer_log_client.js';
export {serveLogs} from './serve_logs.js';
