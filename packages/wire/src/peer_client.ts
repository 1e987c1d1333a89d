/** Client of the peer protocol, with one connection per peer. */
import type {Milliseconds} from '@galenavalve/shared';
import {type WireOptions, applyDefaultOptions} from './wire_options.js';
import type {PeerAddress} from './peer_address.js';
import {
  type LinkCounter,
  type PeerClientSettings,
  PeerLink,
} from './peer_link.js';

/** Calls methods of peers. Opens connections on demand, and reopens them after failures. */
export class PeerClient implements LinkCounter {
  bytesSent = 0;
  bytesReceived = 0;
  lateResponses = 0;
  private readonly options: WireOptions;
  private readonly links = new Map<string, PeerLink>();
  private readonly closed = new AbortController();

  constructor(private readonly settings: PeerClientSettings) {
    this.options = applyDefaultOptions(settings.options);
    void this.closeIdleLinks();
  }

  /**
   * Calls a method of a peer. Throws `peer-timeout`, `peer-unavailable`, or the
   * failure that the peer responded with.
   */
  async call(
    peer: PeerAddress,
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    return this.getLink(peer).call(method, body, timeoutMs);
  }

  /** Sends a notification, which has no response; it is lost when the peer is unreachable. */
  notify(peer: PeerAddress, method: string, body: unknown): void {
    this.getLink(peer).notify(method, body);
  }

  /** Number of open connections. */
  get openConnections(): number {
    return [...this.links.values()].filter(link => link.isOpen).length;
  }

  /** Closes all connections; pending calls fail with `peer-unavailable`. */
  close(): void {
    this.closed.abort();
    for (const link of this.links.values()) {
      link.close('this instance is stopping');
    }
    this.links.clear();
  }

  /** Returns the link to a peer; creates it on the first use. */
  private getLink(peer: PeerAddress): PeerLink {
    const key = `${peer.instance} ${peer.host} ${peer.port}`;
    let link = this.links.get(key);
    if (!link) {
      link = new PeerLink(peer, this.settings, this.options, this);
      this.links.set(key, link);
    }
    return link;
  }

  /** Closes links without calls for `idleTimeout`, until the client is closed. */
  private async closeIdleLinks(): Promise<void> {
    const {clock} = this.settings;
    const {idleTimeout} = this.options;
    while (!this.closed.signal.aborted) {
      await clock.sleep(idleTimeout / 2, this.closed.signal);
      for (const [key, link] of this.links) {
        if (clock.now() - link.lastUsedAt > idleTimeout) {
          this.links.delete(key);
          link.close('the connection was idle');
        }
      }
    }
  }
}
