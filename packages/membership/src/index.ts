/** Peers, configuration freshness, terms and rack shards. */

// The platform's list of instances
export * from './instance_list.js';

// Peers
export {type Hold, type SelfReport, hold, selfReport} from './report.js';
export {type PeerSeed, type PeerStatus, PeerTable} from './peer_table.js';
export {BEAT_METHOD, PeerMesh} from './peer_mesh.js';
export type {
  PeerMeshOptions,
  PeerMeshSettings,
  ReportEvent,
  ReportListener,
} from './mesh_settings.js';
export {type DatedHold, HoldBook} from './hold_book.js';
export {DEFAULT_DEGREE, chooseLinks} from './links.js';

// Freshness and the log's outage
export {
  FreshnessTracker,
  PAUSE_THRESHOLD_MS,
  type RelayedFreshness,
} from './freshness.js';
export {
  type HeardPeer,
  type OutageDecision,
  type OutageSetting,
  type OutageSituation,
  decideOutageMode,
} from './outage_mode.js';

// Records and states from peers
export {
  type PeerCall,
  RECORDS_METHOD,
  RecordRelay,
  type RecordRelayOptions,
  type RecordSource,
  type RecordsPage,
  type RecordsRequest,
  type RelayedEntry,
  pullRecords,
  recordsRequest,
} from './record_relay.js';
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
  nextClaimAt,
} from './claim.js';
export {assignRacks} from './racks.js';
