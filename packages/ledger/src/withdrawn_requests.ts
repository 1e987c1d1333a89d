/** Request ids that will never run. */

/** Withdrawn request ids, in the order of their records. */
export class WithdrawnRequests {
  private readonly until = new Map<string, number>();

  get size(): number {
    return this.until.size;
  }

  has(requestId: string): boolean {
    return this.until.has(requestId);
  }

  /** Remembers a request id until log time `until`. */
  add(requestId: string, until: number): void {
    this.until.set(requestId, until);
  }

  /** Forgets what need not be remembered at `logTime`. */
  removeExpired(logTime: number): void {
    for (const [requestId, until] of this.until) {
      if (logTime > until) {
        this.until.delete(requestId);
      }
    }
  }

  /** Everything, for a snapshot. */
  encode(): [requestId: string, until: number][] {
    return [...this.until];
  }

  /** Takes over the ids of a snapshot. */
  restore(encoded: readonly [requestId: string, until: number][]): void {
    for (const [requestId, until] of encoded) {
      this.until.set(requestId, until);
    }
  }
}
