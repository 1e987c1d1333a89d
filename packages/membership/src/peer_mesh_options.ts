/** What a mesh of peers needs, and what it tells. */
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

/** Intervals of a mesh. */
export interface PeerMeshOptions {
  heartbeatMs: Milliseconds;
  /** Silence after which a peer no longer counts as alive. */
  suspectMs: Milliseconds;
  /** Peers of each other failure domain that beats are exchanged with. */
  peersPerRemoteDomain: number;
  /** Time between two reads of the platform's list. */
  listIntervalMs: Milliseconds;
}

/** What a mesh needs. */
export interface PeerMeshDependencies {
  self: PeerEndpoint;
  client: PeerClient;
  server: PeerServer;
  instanceList: InstanceList;
  seeds: readonly PeerEndpoint[];
  clock: Clock;
  logger: Logger;
  random: Random;
  /** Makes this instance's report, without the holds that the mesh adds. */
  createReport: () => InstanceReport;
  options?: Partial<PeerMeshOptions>;
}

/** A report that was received. */
export interface ReportEvent {
  report: InstanceReport;
  /** A local time that is certainly not after the report was made; undefined when none is known. */
  madeAfter?: Instant;
  receivedAt: Instant;
}

/** Told of every report that is received. */
export type ReportListener = (event: ReportEvent) => void;

/** The intervals that hold where none are given. */
export const DEFAULT_MESH_OPTIONS: PeerMeshOptions = {
  heartbeatMs: 500,
  suspectMs: 1600,
  peersPerRemoteDomain: DEFAULT_PEERS_PER_REMOTE_DOMAIN,
  listIntervalMs: 2000,
};
