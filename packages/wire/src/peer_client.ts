/** Calls the methods of peers, over one connection a peer. */
import type {Milliseconds} from '@galenavalve/shared';
import {type WireOptions, applyDefaultOptions} from './wire_options.js';
import type {PeerAddress} from './peer_address.js';
import {
  type LinkCounter,
  type PeerClientSettings,
  PeerLink,
} from './peer_link.js';

/** Calls peers. Connections are opened on demand and opened again after they fail. */
export class PeerClient implements LinkCounter {
  bytesSent = 0;
  bytesReceived = 0;
  lateResponses = 0;
  private readonly options: WireOptions;
  private readonly links = new Map<string, PeerLink>();
  private readonly closing = new AbortController();

  constructor(private readonly settings: PeerClientSettings) {
    this.options = applyDefaultOptions(settings.options);
    void this.closeIdleLinks();
  }

  /**
   * Runs a method of a peer. Throws `peer-timeout`, `peer-unavailable`, or the
   * failure that the peer answered with.
   */
  async call(
    peer: PeerAddress,
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    return this.linkTo(peer).call(method, body, timeoutMs);
  }

  /** Sends a message that is not answered; it is lost when the peer cannot be reached. */
  notify(peer: PeerAddress, method: string, body: unknown): void {
    this.linkTo(peer).notify(method, body);
  }

  /** Number of open connections. */
  get openConnections(): number {
    return [...this.links.values()].filter(link => link.isOpen).length;
  }

  /** Drops all connections; calls that wait fail with `peer-unavailable`. */
  close(): void {
    this.closing.abort();
    for (const link of this.links.values()) {
      link.close('this instance is stopping');
    }
    this.links.clear();
  }

  private linkTo(peer: PeerAddress): PeerLink {
    const key = `${peer.instance} ${peer.host} ${peer.port}`;
    let link = this.links.get(key);
    if (!link) {
      link = new PeerLink(peer, this.settings, this.options, this);
      this.links.set(key, link);
    }
    return link;
  }

  private async closeIdleLinks(): Promise<void> {
    const {clock} = this.settings;
    const {idleTimeout: idle} = this.options;
    while (!this.closing.signal.aborted) {
      await clock.sleep(idle / 2, this.closing.signal);
      for (const [key, link] of this.links) {
        if (clock.now() - link.lastUsedAt > idle) {
          this.links.delete(key);
          link.close('it was not used');
        }
      }
    }
  }
}
