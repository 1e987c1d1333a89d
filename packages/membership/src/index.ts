/** Peers, configuration freshness, terms and rack shards. */

// The platform's list of instances
export * from './instance_list.js';

// Peers
export {type Hold, type SelfReport, hold, selfReport} from './report.js';
export {type PeerSeed, type PeerStatus, PeerTable} from './peer_table.js';
export {
  BEAT_METHOD,
  PeerMesh,
  type PeerMeshOptions,
  type PeerMeshSettings,
  type ReportEvent,
  type ReportListener,
} from './peer_mesh.js';
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
