/** Fixtures: meshes over TCP on the loopback interface. */
import {SeededRandom, SilentLogger, SystemClock} from '@galenavalve/shared';
import {PeerClient, PeerServer, TcpProxy} from '@galenavalve/wire';
import {
  type ListedInstance,
  PeerMesh,
  type PeerEndpoint,
  type InstanceReport,
} from '../src/index.js';

/** A running instance. */
export interface RunningInstance {
  endpoint: PeerEndpoint;
  mesh: PeerMesh;
  client: PeerClient;
  server: PeerServer;
  /** Proxy in front of the peer server. */
  proxy: TcpProxy;
  /** The report that the instance sends; may be changed by the test. */
  report: InstanceReport;
  stop(): Promise<void>;
}

/** Creates the report of an instance that is ready. */
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

/** Starts an instance that knows the peers in `known` from its settings. */
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
  const serverOptions = {instance, host: '127.0.0.1', port: 0};
  const server = new PeerServer({...serverOptions, logger, clock, options});
  const client = new PeerClient({
    instance,
    logger,
    clock,
    random,
    options,
  });
  const proxy = new TcpProxy((await server.start()).port);
  const port = await proxy.start();
  const endpoint = {instance, host: '127.0.0.1', port, domain};
  const report = createReport(instance, domain);
  const mesh = new PeerMesh({
    self: endpoint,
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
  const stopController = new AbortController();
  const running = mesh.run(stopController.signal);
  return {
    endpoint,
    mesh,
    client,
    server,
    proxy,
    report,
    stop: async () => {
      stopController.abort();
      client.close();
      await proxy.close();
      await server.close();
      await running;
    },
  };
}

/** Resolves when `condition` returns true; throws after `limitMs`. */
export async function waitFor(
  condition: () => boolean,
  limitMs = 10_000,
): Promise<void> {
  const clock = new SystemClock();
  const end = clock.now() + limitMs;
  while (!condition()) {
    if (clock.now() > end) {
      throw new Error('condition not met within the time limit');
    }
    await clock.sleep(5);
  }
}
