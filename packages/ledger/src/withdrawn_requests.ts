/** Ids of withdrawn requests, which never become jobs. */

/** Stores withdrawn request ids in the order of their records. */
export class WithdrawnRequests {
  private readonly expiryById = new Map<string, number>();

  get size(): number {
    return this.expiryById.size;
  }

  has(requestId: string): boolean {
    return this.expiryById.has(requestId);
  }

  /**
   * Adds a request id that expires at log time `expiresAt`, in milliseconds
   * since the Unix epoch.
   */
  add(requestId: string, expiresAt: number): void {
    this.expiryById.set(requestId, expiresAt);
  }

  /** Removes the request ids that have expired at `logTime`. */
  removeExpired(logTime: number): void {
    for (const [requestId, expiresAt] of this.expiryById) {
      if (logTime > expiresAt) {
        this.expiryById.delete(requestId);
      }
    }
  }

  /** Returns all request ids with their expiry times, for a snapshot. */
  encode(): [requestId: string, expiresAt: number][] {
    return [...this.expiryById];
  }

  /** Adds the request ids of a snapshot. */
  restore(encoded: readonly [requestId: string, expiresAt: number][]): void {
    for (const [requestId, expiresAt] of encoded) {
      this.expiryById.set(requestId, expiresAt);
    }
  }
}
