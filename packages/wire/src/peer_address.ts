/** Address at which an instance serves the peer protocol. */
export interface PeerAddress {
  /** Name of the instance. */
  instance: string;
  /** IP address. */
  host: string;
  port: number;
}
