/** Measures the cost of heartbeats and of record pulls between peers. */
import {
  PeerMesh,
  type PeerEndpoint,
  RECORDS_METHOD,
  RecordCache,
  type InstanceReport,
  pullRecords,
  recordsRequest,
} from '@galenavalve/membership';
import {SeededRandom, SilentLogger, SystemClock} from '@galenavalve/shared';
import {PeerClient, PeerServer} from '@galenavalve/wire';
import {createEntries, createJobRecords} from './fixtures.js';
import {measureBusyTimeMs} from './measurement.js';
import {type Slope, measureSlopes} from './slope.js';

const PEER_COUNTS = [1, 2, 4, 8, 16];
const RECORD_COUNTS = [400, 800, 1600, 3200];

/** Shorter than in service, so that a short measurement covers many heartbeats. */
const HEARTBEAT_MS = 100;
const WARM_UP_MS = 800;
const MEASUREMENT_MS = 1500;

const HOST = '127.0.0.1';
const DOMAIN_ID = 'north';
const clock = new SystemClock();
const logger = new SilentLogger();

/** Bytes sent and received, and busy time of the event loop. */
type PeerCost = Record<'bytes' | 'busyMs', number>;

/** Measures all slopes of the peer protocol. */
export async function measurePeers(): Promise<Slope[]> {
  const heartbeatSlopes = await measureSlopes(
    {
      bytes: {
        id: 'beat-bytes',
        over: 'peers in the same failure domain',
        measured: 'bytes sent and received a heartbeat interval',
      },
      busyMs: {
        id: 'beat-time',
        over: 'peers in the same failure domain',
        measured: 'busy ms a heartbeat interval',
      },
    },
    PEER_COUNTS,
    measureHeartbeats,
  );
  const pullSlopes = await measureSlopes(
    {
      bytes: {
        id: 'relay-bytes',
        over: 'records pulled from a peer',
        measured: 'bytes sent and received',
      },
      busyMs: {
        id: 'relay-time',
        over: 'records pulled from a peer',
        measured: 'busy ms of both ends',
      },
    },
    RECORD_COUNTS,
    measureRecordPull,
  );
  return [...heartbeatSlopes, ...pullSlopes];
}

/** Measures the mean cost of one instance with `peers` peers, per heartbeat interval. */
async function measureHeartbeats(peers: number): Promise<PeerCost> {
  const seeds: PeerEndpoint[] = [];
  const instances: MeshInstance[] = [];
  for (let index = 0; index <= peers; index++) {
    const instance = await startInstance(`entry-north-${index}`, [...seeds]);
    instances.push(instance);
    seeds.push(instance.seed);
  }
  await clock.sleep(WARM_UP_MS);
  const bytesBefore = instances.map(countInstanceBytes);
  const busyMs = await measureBusyTimeMs(() => clock.sleep(MEASUREMENT_MS));
  const bytes = instances.map(
    (instance, index) => countInstanceBytes(instance) - bytesBefore[index]!,
  );
  await Promise.all(instances.map(instance => instance.stop()));
  const intervals = MEASUREMENT_MS / HEARTBEAT_MS;
  const totalBytes = bytes.reduce((sum, value) => sum + value, 0);
  return {
    bytes: totalBytes / instances.length / intervals,
    busyMs: busyMs / instances.length / intervals,
  };
}

/** Measures the cost of pulling `records` records of jobs from a peer. */
async function measureRecordPull(records: number): Promise<PeerCost> {
  const {server, client} = createServerAndClient('entry-north-1');
  const cache = new RecordCache();
  const bodies = Array.from({length: records / 4}, (_, index) =>
    createJobRecords(index, 4),
  ).flat();
  cache.add(createEntries(bodies, 0), records);
  server.handle(RECORDS_METHOD, recordsRequest, async body =>
    cache.readPage(body),
  );
  const {port} = await server.start();
  const peer = {instance: 'entry-north-1', host: HOST, port};
  const sources = [{instance: peer.instance, offset: records}];
  const busyMs = await measureBusyTimeMs(async () => {
    for (let from = 0; from < records;) {
      const page = await pullRecords(
        from,
        sources,
        (_instance, method, body, timeoutMs) =>
          client.call(peer, method, body, timeoutMs),
        5000,
      );
      from = page?.nextOffset ?? records;
    }
  });
  const bytes = client.bytesSent + client.bytesReceived;
  client.close();
  await server.close();
  return {bytes, busyMs};
}

interface MeshInstance {
  seed: PeerEndpoint;
  server: PeerServer;
  client: PeerClient;
  stop(): Promise<void>;
}

async function startInstance(
  instance: string,
  seeds: readonly PeerEndpoint[],
): Promise<MeshInstance> {
  const {server, client, random} = createServerAndClient(instance);
  const {port} = await server.start();
  const seed = {instance, host: HOST, port, domain: DOMAIN_ID};
  const mesh = new PeerMesh({
    self: seed,
    client,
    server,
    instanceList: {list: async () => []},
    seeds,
    clock,
    logger,
    random,
    createReport: () => createReport(instance),
    options: {heartbeatMs: HEARTBEAT_MS},
  });
  const stopping = new AbortController();
  const running = mesh.run(stopping.signal);
  const stop = async () => {
    stopping.abort();
    client.close();
    await server.close();
    await running;
  };
  return {seed, server, client, stop};
}

function createServerAndClient(instance: string) {
  const random = new SeededRandom(1);
  const listen = {host: HOST, port: 0};
  const server = new PeerServer({...listen, instance, logger, clock});
  const client = new PeerClient({instance, logger, clock, random});
  return {server, client, random};
}

function createReport(instance: string): InstanceReport {
  return {
    instance,
    domain: DOMAIN_ID,
    // Large numbers take more bytes on the wire, so the offset is as large as in service.
    offset: 10_000_000 + Math.floor(clock.now()),
    freshnessAgeMs: 300,
    leaving: false,
    ready: true,
    holds: [],
    load: {queued: 200, freeAccelerators: 500},
  };
}

function countInstanceBytes({server, client}: MeshInstance): number {
  return (
    server.bytesSent +
    server.bytesReceived +
    client.bytesSent +
    client.bytesReceived
  );
}
