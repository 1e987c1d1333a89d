/** A TCP relay that can lose track of the connections that run through it. */
import {type Server, type Socket, connect, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

/** The two sockets of one relayed connection. */
interface Link {
  near: Socket;
  far: Socket;
  isSilent: boolean;
}

/** A relay that listens. */
export interface FaultProxy {
  host: string;
  port: number;
  /** Open connections carry nothing any more, without an end; new ones work. */
  stallConnections(): void;
  /** Nothing gets through, and new connections get no answer. */
  blockTraffic(): void;
  /** New connections work again; silenced ones stay silent. */
  unblockTraffic(): void;
  close(): Promise<void>;
}

/** Starts a relay to `host`:`port` on a free port of the same address. */
export async function startFaultProxy(
  host: string,
  port: number,
): Promise<FaultProxy> {
  const links = new Set<Link>();
  let isCut = false;
  const server = createServer(near => {
    const link: Link = {near, far: connect(port, host), isSilent: isCut};
    links.add(link);
    join(link, link.near, link.far);
    join(link, link.far, link.near);
    near.once('close', () => links.delete(link));
  });
  await listen(server, host);
  const silenceOpen = () => {
    for (const link of links) {
      link.isSilent = true;
    }
  };
  return {
    host,
    port: (server.address() as AddressInfo).port,
    stallConnections: silenceOpen,
    blockTraffic: () => {
      isCut = true;
      silenceOpen();
    },
    unblockTraffic: () => {
      isCut = false;
    },
    close: () => closeAll(server, links),
  };
}

/** Carries data from one socket to the other for as long as the link is heard. */
function join(link: Link, from: Socket, to: Socket): void {
  from.on('data', data => {
    if (!link.isSilent) {
      to.write(data);
    }
  });
  from.on('error', () => to.destroy());
  from.on('close', () => {
    if (!link.isSilent) {
      to.destroy();
    }
  });
}

function listen(server: Server, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve());
  });
}

function closeAll(server: Server, links: ReadonlySet<Link>): Promise<void> {
  for (const {near, far} of links) {
    near.destroy();
    far.destroy();
  }
  return new Promise(resolve => server.close(() => resolve()));
}
