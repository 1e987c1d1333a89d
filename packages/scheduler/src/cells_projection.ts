/**
 * Projection of the ledger onto the cells of one failure domain. Every instance
 * maintains one for every domain, for routing and planning. The domain's
 * scheduler also adds the gangs that it is about to start.
 */
import type {Configuration} from '@galenavalve/model';
import type {FoldResult, Job, LedgerState} from '@galenavalve/ledger';
import type {
  Cells,
  GuaranteePolicy,
  RunningGang,
  TargetCondition,
} from '@galenavalve/placement';

/** The cells of one failure domain, derived from the ledger. */
export class CellsProjection {
  cells: Cells;
  private configuration: Configuration;
  /** Latest condition of each target that has been reported. */
  private readonly conditions = new Map<string, TargetCondition>();
  /** Jobs whose gangs are about to start but are not in the ledger yet. */
  private readonly pendingJobIds = new Set<string>();

  constructor(
    readonly domain: string,
    private readonly state: LedgerState,
    private readonly policy: GuaranteePolicy,
  ) {
    this.configuration = state.configuration;
    this.cells = this.createCells();
  }

  /** Derives the cells from scratch after the ledger state was replaced. */
  rebuild(): void {
    this.configuration = this.state.configuration;
    this.pendingJobIds.clear();
    this.cells = this.createCells();
    for (const [target, condition] of this.conditions) {
      this.cells.setCondition(target, condition);
    }
  }

  /** Applies the effect of an accepted record; ignores rejected ones. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!applied.accepted || !record) {
      return;
    }
    if (record.type === 'configured') {
      this.applyConfiguration();
    }
    if ('jobId' in record) {
      this.applyJob(record.jobId);
    }
  }

  /** Occupies cells for a gang whose `placed` record is not accepted yet. */
  addPending(gang: RunningGang): void {
    this.pendingJobIds.add(gang.jobId);
    this.cells.addGang(gang);
  }

  /** Frees the cells of a pending gang unless the ledger has it as active. */
  removePending(jobId: string): void {
    this.pendingJobIds.delete(jobId);
    this.applyJob(jobId);
  }

  /** Sets the observed condition of a target; `well` means no known problem. */
  setCondition(target: string, condition: TargetCondition): void {
    if ((this.conditions.get(target) ?? 'well') === condition) {
      return;
    }
    this.conditions.set(target, condition);
    this.cells.setCondition(target, condition);
  }

  /** Resets all target conditions; after the term ends, stale ones would mislead routing. */
  clearConditions(): void {
    for (const target of this.conditions.keys()) {
      this.cells.setCondition(target, 'well');
    }
    this.conditions.clear();
  }

  /** Marks a gang as stopping, so that it is not chosen again as a victim. */
  markStopping(jobId: string): void {
    const job = this.state.getJob(jobId);
    if (job) {
      this.cells.removeGang(jobId);
      this.cells.addGang({...toRunningGang(job), stopping: true});
    }
  }

  private createCells(): Cells {
    const cells = this.policy.createCells(this.domain, this.configuration);
    for (const job of this.state.listActiveJobs(this.domain)) {
      cells.addGang(toRunningGang(job));
    }
    return cells;
  }

  private applyConfiguration(): void {
    if (this.configuration === this.state.configuration) {
      return;
    }
    this.configuration = this.state.configuration;
    this.cells.configure(this.configuration);
    for (const [target, condition] of this.conditions) {
      this.cells.setCondition(target, condition);
    }
  }

  private applyJob(jobId: string): void {
    const job = this.state.getJob(jobId);
    const isActiveHere =
      job?.domain === this.domain &&
      (job.phase === 'placed' || job.phase === 'running');
    if (isActiveHere && !this.pendingJobIds.has(jobId)) {
      this.cells.removeGang(jobId);
      this.cells.addGang(toRunningGang(job));
    }
    if (!isActiveHere && !this.pendingJobIds.has(jobId)) {
      this.cells.removeGang(jobId);
    }
    if (job?.domain === this.domain && job.outcome === 'succeeded') {
      this.recordRunTime(job);
    }
  }

  private recordRunTime(job: Job): void {
    if (job.startedAt === undefined || job.finishedAt === undefined) {
      return;
    }
    const actualSeconds =
      job.progressSeconds + (job.finishedAt - job.startedAt) / 1000;
    this.cells.recordRunTime(
      job.request.workspace,
      job.request.kind,
      job.request.expectedSeconds,
      actualSeconds,
    );
  }
}

/** Converts an active job to the input type of the placement package. */
export function toRunningGang(job: Job): RunningGang {
  const startedAt = job.startedAt ?? job.placedAt ?? job.submittedAt;
  return {
    jobId: job.jobId,
    workspace: job.request.workspace,
    gang: job.request.gang,
    kind: job.request.kind,
    assignments: job.assignments,
    guaranteed: job.guaranteed,
    urgent: job.request.urgent,
    repeatable: job.request.repeatable,
    checkpointable: job.request.checkpointable,
    startedAt,
    savedAt: startedAt,
    expectedSeconds: computeRemainingSeconds(job),
    stopping: job.cancelRequested,
  };
}

/** Computes the remaining run time in seconds from the caller's estimate; at least 1. */
export function computeRemainingSeconds(job: Job): number {
  return Math.max(1, job.request.expectedSeconds - job.progressSeconds);
}
