/** Cluster membership: peers, freshness, outage mode, scheduler terms and the assignment of racks. */

// The platform's instance list
export * from './instance_list.js';

// Peers
export {
  type Hold,
  type InstanceReport,
  hold,
  instanceReport,
} from './instance_report.js';
export {type PeerEndpoint, type PeerStatus, PeerTable} from './peer_table.js';
export {HEARTBEAT_METHOD, PeerMesh} from './peer_mesh.js';
export type {
  PeerMeshOptions,
  PeerMeshDependencies,
  ReportEvent,
  ReportListener,
} from './peer_mesh_options.js';
export {type PositionedHold, HoldRegistry} from './hold_registry.js';
export {
  DEFAULT_PEERS_PER_REMOTE_DOMAIN,
  chooseHeartbeatPeers,
} from './heartbeat_peers.js';

// Freshness and outage mode
export {
  FreshnessTracker,
  PAUSE_THRESHOLD_MS,
  type RelayedFreshness,
} from './freshness.js';
export {
  type PeerObservation,
  type OutageDecision,
  type OutageSetting,
  type OutageSituation,
  decideOutageMode,
} from './outage_mode.js';

// Records and state from peers
export {
  type PeerCall,
  RECORDS_METHOD,
  RecordCache,
  type RecordCacheOptions,
  type RecordSource,
  type RecordsPage,
  type RecordsRequest,
  type RelayedEntry,
  pullRecords,
  recordsRequest,
} from './record_cache.js';
export {
  type PeerSnapshot,
  PeerStateSource,
  STATE_OPEN_METHOD,
  STATE_SECTION_METHOD,
  type SectionRequest,
  type StateOffer,
  StateServer,
  emptyBody,
  sectionRequest,
} from './state_transfer.js';

// Roles
export {
  type ClaimDecision,
  type ClaimReason,
  type ClaimSituation,
  SUCCESSION_STEP_MS,
  SUSPECT_AFTER_MS,
  TAKEOVER_WINDOW_MS,
  decideClaim,
  computeNextClaimTime,
} from './claim.js';
export {assignRacks} from './rack_assignment.js';
