/** Options, dependencies and events of the peer mesh. */
import type {
  Clock,
  Instant,
  Logger,
  Milliseconds,
  Random,
} from '@galenavalve/shared';
import type {PeerClient, PeerServer} from '@galenavalve/wire';
import type {InstanceList} from './instance_list.js';
import {DEFAULT_PEERS_PER_REMOTE_DOMAIN} from './heartbeat_peers.js';
import type {PeerEndpoint} from './peer_table.js';
import type {InstanceReport} from './instance_report.js';

/** Intervals and limits of a mesh. */
export interface PeerMeshOptions {
  /** Time between two heartbeat rounds, before jitter; also the timeout of each heartbeat call. */
  heartbeatMs: Milliseconds;
  /** Time without a heartbeat after which a peer of the own failure domain is suspected. */
  suspectMs: Milliseconds;
  /** Number of alive peers in each remote failure domain with which heartbeats are exchanged. */
  peersPerRemoteDomain: number;
  /** Time between two reads of the platform's instance list. */
  listIntervalMs: Milliseconds;
}

/** Dependencies of a mesh. */
export interface PeerMeshDependencies {
  /** This instance. */
  self: PeerEndpoint;
  client: PeerClient;
  server: PeerServer;
  instanceList: InstanceList;
  /** Peers known from the settings. */
  seeds: readonly PeerEndpoint[];
  clock: Clock;
  logger: Logger;
  random: Random;
  /** Creates this instance's report; the mesh adds the holds. */
  createReport: () => InstanceReport;
  options?: Partial<PeerMeshOptions>;
}

/** A received report. */
export interface ReportEvent {
  report: InstanceReport;
  /** Local time that is not after the report was made; undefined when none is known. */
  madeAfter?: Instant;
  /** Local time at which the report was received. */
  receivedAt: Instant;
}

/** Called for every received report. */
export type ReportListener = (event: ReportEvent) => void;

/** Default options of a mesh. */
export const DEFAULT_MESH_OPTIONS: PeerMeshOptions = {
  heartbeatMs: 500,
  suspectMs: 1600,
  peersPerRemoteDomain: DEFAULT_PEERS_PER_REMOTE_DOMAIN,
  listIntervalMs: 2000,
};
