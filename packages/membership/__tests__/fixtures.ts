/** Meshes over real sockets on the loopback interface. */
import {SeededRandom, SilentLogger, SystemClock} from '@galenavalve/shared';
import {PeerClient, PeerServer, TcpProxy} from '@galenavalve/wire';
import {
  type ListedInstance,
  PeerMesh,
  type PeerEndpoint,
  type InstanceReport,
} from '../src/index.js';

/** One running instance. */
export interface RunningInstance {
  seed: PeerEndpoint;
  mesh: PeerMesh;
  client: PeerClient;
  server: PeerServer;
  /** Stands before the server. */
  relay: TcpProxy;
  report: InstanceReport;
  stop(): Promise<void>;
}

/** A report of an instance that is well. */
export function createReport(
  instance: string,
  domain: string,
  changes: Partial<InstanceReport> = {},
): InstanceReport {
  return {
    instance,
    domain,
    offset: 10,
    freshnessAgeMs: 0,
    leaving: false,
    ready: true,
    holds: [],
    ...changes,
  };
}

/** Starts an instance whose seeds are `known`. */
export async function startInstance(
  instance: string,
  domain: string,
  known: readonly PeerEndpoint[],
  listed: readonly ListedInstance[] = [],
): Promise<RunningInstance> {
  const clock = new SystemClock();
  const logger = new SilentLogger();
  const random = new SeededRandom(instance.length + known.length);
  const options = {
    heartbeatInterval: 300,
    silenceTimeout: 900,
    minSilentCallDuration: 100,
    connectTimeout: 300,
  };
  const settings = {instance, host: '127.0.0.1', port: 0};
  const server = new PeerServer({...settings, logger, clock, options});
  const client = new PeerClient({
    instance,
    logger,
    clock,
    random,
    options,
  });
  const relay = new TcpProxy((await server.start()).port);
  const port = await relay.start();
  const seed = {instance, host: '127.0.0.1', port, domain};
  const report = createReport(instance, domain);
  const mesh = new PeerMesh({
    self: seed,
    client,
    server,
    instanceList: {list: async () => [...listed]},
    seeds: known,
    clock,
    logger,
    random,
    createReport: () => report,
    options: {heartbeatMs: 100, suspectMs: 600},
  });
  const stopping = new AbortController();
  const running = mesh.run(stopping.signal);
  return {
    seed,
    mesh,
    client,
    server,
    relay,
    report,
    stop: async () => {
      stopping.abort();
      client.close();
      await relay.close();
      await server.close();
      await running;
    },
  };
}

/** Resolves when `condition` holds; throws after `limitMs`. */
export async function waitFor(
  condition: () => boolean,
  limitMs = 10_000,
): Promise<void> {
  const clock = new SystemClock();
  const end = clock.now() + limitMs;
  while (!condition()) {
    if (clock.now() > end) {
      throw new Error('the condition did not come to hold');
    }
    await clock.sleep(5);
  }
}
