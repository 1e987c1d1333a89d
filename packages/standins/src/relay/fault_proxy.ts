/** TCP proxy that injects network faults: connections that carry no data, without a reset. */
import {type Server, type Socket, connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** Client and server socket of one proxied connection. */
interface ProxiedConnection {
  client: Socket;
  server: Socket;
  /** True when data and closes of either side are no longer forwarded. */
  isStalled: boolean;
}

/** Handle of a running proxy. */
export interface FaultProxy {
  host: string;
  port: number;
  /** Stalls open connections: they stay open but carry no data. New connections work. */
  stallConnections(): void;
  /** Stalls open connections and all new ones, which are accepted but carry no data. */
  blockTraffic(): void;
  /** Lets new connections work again; stalled ones stay stalled. */
  unblockTraffic(): void;
  /** Stops listening and closes every connection. */
  close(): Promise<void>;
}

/** Starts a proxy to `host`:`port` on a free port of the same host. */
export async function startFaultProxy(
  host: string,
  port: number,
): Promise<FaultProxy> {
  const connections = new Set<ProxiedConnection>();
  let isBlocked = false;
  const proxy = createServer(client => {
    const connection: ProxiedConnection = {
      client,
      server: connect(port, host),
      isStalled: isBlocked,
    };
    connections.add(connection);
    forward(connection, connection.client, connection.server);
    forward(connection, connection.server, connection.client);
    client.once('close', () => connections.delete(connection));
  });
  await listen(proxy, host);
  const stallConnections = () => {
    for (const connection of connections) {
      connection.isStalled = true;
    }
  };
  return {
    host,
    port: (proxy.address() as AddressInfo).port,
    stallConnections,
    blockTraffic: () => {
      isBlocked = true;
      stallConnections();
    },
    unblockTraffic: () => {
      isBlocked = false;
    },
    close: () => closeAll(proxy, connections),
  };
}

/** Forwards data and the close of `from` to `to` until the connection is stalled. */
function forward(
  connection: ProxiedConnection,
  from: Socket,
  to: Socket,
): void {
  from.on('data', data => {
    if (!connection.isStalled) {
      to.write(data);
    }
  });
  from.on('error', () => to.destroy());
  from.on('close', () => {
    if (!connection.isStalled) {
      to.destroy();
    }
  });
}

function listen(proxy: Server, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    proxy.once('error', reject);
    proxy.listen(0, host, () => resolve());
  });
}

function closeAll(
  proxy: Server,
  connections: ReadonlySet<ProxiedConnection>,
): Promise<void> {
  for (const {client, server} of connections) {
    client.destroy();
    server.destroy();
  }
  return new Promise(resolve => proxy.close(() => resolve()));
}
