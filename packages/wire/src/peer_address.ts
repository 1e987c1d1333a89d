/** Where an instance serves the peer protocol. */
export interface PeerAddress {
  /** Name of the instance. */
  instance: string;
  /** IP number. */
  host: string;
  port: number;
}
