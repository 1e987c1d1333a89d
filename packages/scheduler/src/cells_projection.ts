/**
 * Keeps the cells of one failure domain in step with the ledger. Every instance
 * mirrors every domain, to route and to plan; the domain's scheduler also
 * adds the gangs that it is about to start.
 */
import type {Configuration} from '@galenavalve/model';
import type {FoldResult, Job, LedgerState} from '@galenavalve/ledger';
import type {
  Cells,
  GuaranteePolicy,
  RunningGang,
  TargetCondition,
} from '@galenavalve/placement';

/** The cells of one domain, derived from the ledger. */
export class CellsProjection {
  cells: Cells;
  private configuration: Configuration;
  private readonly observed = new Map<string, TargetCondition>();
  /** Gangs that are about to start but are not in the ledger yet. */
  private readonly pending = new Set<string>();

  constructor(
    readonly domain: string,
    private readonly state: LedgerState,
    private readonly policy: GuaranteePolicy,
  ) {
    this.configuration = state.configuration;
    this.cells = this.createCells();
  }

  /** Derives the cells anew; for a state that was replaced. */
  rebuild(): void {
    this.configuration = this.state.configuration;
    this.pending.clear();
    this.cells = this.createCells();
    for (const [target, condition] of this.observed) {
      this.cells.setCondition(target, condition);
    }
  }

  /** Takes over the effect of an accepted record. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!applied.accepted || !record) {
      return;
    }
    if (record.type === 'configured') {
      this.followConfiguration();
    }
    if ('jobId' in record) {
      this.followJob(record.jobId);
    }
  }

  /** Occupies cells for a gang whose `placed` record is not accepted yet. */
  addPending(gang: RunningGang): void {
    this.pending.add(gang.jobId);
    this.cells.addGang(gang);
  }

  /** Frees the cells of a pending gang, unless the ledger holds it by now. */
  removePending(jobId: string): void {
    this.pending.delete(jobId);
    this.followJob(jobId);
  }

  /** Notes what is seen of a target; `well` when there is nothing against it. */
  setCondition(target: string, condition: TargetCondition): void {
    if ((this.observed.get(target) ?? 'well') === condition) {
      return;
    }
    this.observed.set(target, condition);
    this.cells.setCondition(target, condition);
  }

  /** Forgets what was seen of targets: after the term it would only mislead routing. */
  clearConditions(): void {
    for (const target of this.observed.keys()) {
      this.cells.setCondition(target, 'well');
    }
    this.observed.clear();
  }

  /** Marks a gang that was told to stop, so that it is not chosen again as a victim. */
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

  private followConfiguration(): void {
    if (this.configuration === this.state.configuration) {
      return;
    }
    this.configuration = this.state.configuration;
    this.cells.configure(this.configuration);
    for (const [target, condition] of this.observed) {
      this.cells.setCondition(target, condition);
    }
  }

  private followJob(jobId: string): void {
    const job = this.state.getJob(jobId);
    const isHere =
      job?.domain === this.domain &&
      (job.phase === 'placed' || job.phase === 'running');
    if (isHere && !this.pending.has(jobId)) {
      this.cells.removeGang(jobId);
      this.cells.addGang(toRunningGang(job));
    }
    if (!isHere && !this.pending.has(jobId)) {
      this.cells.removeGang(jobId);
    }
    if (job?.domain === this.domain && job.outcome === 'succeeded') {
      this.learnFrom(job);
    }
  }

  private learnFrom(job: Job): void {
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

/** An active job as the placement package sees it. */
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

/** The caller's estimate of the run time that is left, in seconds. */
export function computeRemainingSeconds(job: Job): number {
  return Math.max(1, job.request.expectedSeconds - job.progressSeconds);
}
