/**
 * Worker thread that runs stand-ins for the services of the platform: the
 * instance list, and behind TCP proxies that count bytes the log and the targets.
 */
import {parentPort, workerData} from 'node:worker_threads';
import {
  LedgerState,
  type MemoryLog,
  createChunks,
  encodeState,
} from '@galenavalve/ledger';
import type {RecordBody} from '@galenavalve/model';
import {
  startInstanceServer,
  startLogServer,
  startTargetServer,
} from '@galenavalve/standins';
import {TcpProxy} from '@galenavalve/wire';
import {createEntries, createLogBodies, foldAll} from './fixtures.js';
import type {
  ByteCounts,
  PlatformSettings,
  PlatformUrls,
} from './platform_thread.js';
import {createClusterRecords} from './two_year_size.js';

const HOST = '127.0.0.1';

if (parentPort) {
  const port = parentPort;
  const {urls, count} = await startStandIns(workerData as PlatformSettings);
  port.postMessage(urls);
  port.on('message', () => port.postMessage(count()));
}

async function startStandIns({
  targets,
  records,
  clusterShare,
}: PlatformSettings) {
  const listen = {host: HOST, port: 0};
  const log = await startLogServer(listen);
  const bodies =
    clusterShare === undefined
      ? createLogBodies(records)
      : createClusterRecords(clusterShare);
  log.log.write(...createEntries(bodies, 0).map(entry => entry.value));
  if (clusterShare !== undefined) {
    writeSnapshot(log.log, bodies);
  }
  const list = await startInstanceServer({...listen, instances: []});
  const definitions = Array.from({length: targets}, (_, index) => ({
    id: `target-${index}`,
    slots: 4096,
    accelerators: 8,
    processors: 65_536,
    memoryMb: 67_108_864,
  }));
  const server = await startTargetServer({...listen, targets: definitions});
  const logProxy = new TcpProxy(getPort(log.url));
  const targetProxy = new TcpProxy(getPort(server.url));
  const urls: PlatformUrls = {
    log: `http://${HOST}:${await logProxy.start()}`,
    instances: list.url,
    targets: `http://${HOST}:${await targetProxy.start()}`,
  };
  const count = (): ByteCounts => ({
    toLog: logProxy.bytesFromClients,
    fromLog: logProxy.bytesFromServer,
    toTargets: targetProxy.bytesFromClients,
    fromTargets: targetProxy.bytesFromServer,
  });
  return {urls, count};
}

/** Appends a snapshot, as the log of a running cluster holds one. */
function writeSnapshot(log: MemoryLog, bodies: readonly RecordBody[]): void {
  const state = new LedgerState();
  foldAll(state, bodies);
  const chunks = createChunks(encodeState(state, 'snapshot-1'));
  const entries = createEntries(chunks, state.nextOffset);
  log.write(...entries.map(entry => entry.value));
}

function getPort(url: string): number {
  return Number(new URL(url).port);
}
