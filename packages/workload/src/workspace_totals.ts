/** Totals of a quantity, in all and by workspace. */
export class WorkspaceTotals {
  private readonly totals = new Map<string, number>();
  private sum = 0;

  /** Adds `amount`, which may be negative. */
  add(workspace: string, amount: number): void {
    this.sum += amount;
    const total = this.get(workspace) + amount;
    if (total === 0) {
      this.totals.delete(workspace);
    } else {
      this.totals.set(workspace, total);
    }
  }

  /** Returns the total of a workspace, or that of all. */
  get(workspace?: string): number {
    return workspace === undefined
      ? this.sum
      : (this.totals.get(workspace) ?? 0);
  }
}
