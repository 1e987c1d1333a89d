/**
 * Two-phase start of gangs: reserves on every target, appends `placed` to the
 * log, then starts. A gang starts on all of its targets or on none. When a step
 * fails, no part of the gang runs for longer than
 * `computeLongestPartialRunMs` of the targets package.
 */
import type {FoldResult, Job} from '@galenavalve/ledger';
import {type Reason, createReason, describeReason} from '@galenavalve/model';
import type {PlacementDecision} from '@galenavalve/placement';
import {type Milliseconds, describeError, isFailure} from '@galenavalve/shared';
import type {GangAttempt} from '@galenavalve/targets';
import {createGangAttempt, formatTargets} from './gang_attempt.js';
import {STOP_NOW, stopGangAndWait} from './gang_stop_coordinator.js';
import type {SchedulerContext} from './scheduler_context.js';
import type {WaitReasonTracker} from './wait_reason_tracker.js';
import type {StartBackoff} from './waiting_queue.js';

/** Longest time for which reservations are renewed while the append is pending. */
const APPEND_TIMEOUT_MS: Milliseconds = 4_000;

/** Launches gangs for one term of a domain's scheduler. */
export class GangLaunchCoordinator {
  private readonly launches = new Map<string, Promise<void>>();

  constructor(
    private readonly context: SchedulerContext,
    private readonly backoff: StartBackoff,
    private readonly waitReasons: WaitReasonTracker,
  ) {}

  /** Returns whether the job is between its placement decision and its start. */
  isStarting(jobId: string): boolean {
    return this.launches.has(jobId);
  }

  /** Begins to launch a placed gang; does nothing unless the job is queued and not starting. */
  begin(decision: PlacementDecision): void {
    const job = this.context.state.getJob(decision.jobId);
    if (!job || job.phase !== 'queued' || this.isStarting(job.jobId)) {
      return;
    }
    this.addPendingGang(job, decision);
    const launch = this.launch(job, decision)
      .catch(error => this.onUnexpectedError(job.jobId, error))
      .finally(() => {
        this.launches.delete(job.jobId);
        this.context.projection.removePending(job.jobId);
        this.context.requestPass();
      });
    this.launches.set(job.jobId, launch);
  }

  /** Resolves when all launches that are in progress have ended. */
  async waitUntilIdle(): Promise<void> {
    await Promise.all(this.launches.values());
  }

  private addPendingGang(job: Job, decision: PlacementDecision): void {
    const now = this.context.clock.wallTime();
    const {request} = job;
    this.context.projection.addPending({
      jobId: job.jobId,
      workspace: request.workspace,
      gang: request.gang,
      kind: request.kind,
      assignments: decision.assignments,
      guaranteed: decision.guaranteed,
      urgent: request.urgent,
      repeatable: request.repeatable,
      checkpointable: request.checkpointable,
      startedAt: now,
      savedAt: now,
      expectedSeconds: request.expectedSeconds,
      stopping: false,
    });
  }

  private async launch(job: Job, decision: PlacementDecision): Promise<void> {
    const gangAttempt = createGangAttempt(
      job,
      job.attempts + 1,
      this.context.term,
      decision.assignments,
    );
    const blocker = this.findStartBlocker(gangAttempt);
    if (blocker) {
      this.recordFailedStart(gangAttempt, blocker);
      return;
    }
    const reserved = await this.context.starter.reserve(gangAttempt);
    if (reserved.kind === 'refused') {
      this.recordFailedStart(gangAttempt, reserved.reason, reserved.culprit);
      return;
    }
    const isPlaced = await this.recordIntent(gangAttempt, decision);
    if (!isPlaced) {
      await this.release(gangAttempt);
      return;
    }
    await this.start(gangAttempt);
  }

  /**
   * Appends `placed` while the reservations are renewed. Resolves to whether
   * the fold accepted it.
   */
  private async recordIntent(
    gangAttempt: GangAttempt,
    decision: PlacementDecision,
  ): Promise<boolean> {
    const {clock, starter, writer, domain, term} = this.context;
    const deadline = clock.now() + APPEND_TIMEOUT_MS;
    const appendEnded = new AbortController();
    const renewals = starter.renewReservations(
      gangAttempt,
      deadline,
      appendEnded.signal,
    );
    try {
      const applied = await writer.append(
        {
          type: 'placed',
          jobId: gangAttempt.jobId,
          attempt: gangAttempt.attempt,
          domain,
          term,
          assignments: [...gangAttempt.assignments],
          guaranteed: decision.guaranteed,
          reason: decision.reason,
        },
        {deadline},
      );
      return this.isAccepted(gangAttempt, applied);
    } catch (error) {
      // An append with an unknown outcome may still be accepted later. The next
      // pass then finds a `placed` that is not starting, and appends `unplaced`.
      const isOutcomeKnown = isFailure(error, 'log-unavailable');
      this.recordFailedStart(
        gangAttempt,
        createReason(isOutcomeKnown ? 'waiting-stale' : 'start-unknown', {
          target: 'no target',
        }),
      );
      return false;
    } finally {
      appendEnded.abort();
      await renewals;
    }
  }

  private isAccepted(gangAttempt: GangAttempt, applied: FoldResult): boolean {
    if (applied.accepted) {
      return true;
    }
    this.context.logger.info('placement-rejected', {
      jobId: gangAttempt.jobId,
      attempt: gangAttempt.attempt,
      rejection: applied.rejection,
    });
    return false;
  }

  private async start(gangAttempt: GangAttempt): Promise<void> {
    const {starter, leaseRenewer, record, domain, term, logger} = this.context;
    const result = await starter.start(gangAttempt, () =>
      this.findStartBlocker(gangAttempt),
    );
    const attemptFields = {
      jobId: gangAttempt.jobId,
      attempt: gangAttempt.attempt,
      domain,
      term,
    };
    if (result.kind === 'started') {
      logger.info('started', {
        ...attemptFields,
        targets: formatTargets(gangAttempt.assignments),
      });
      this.backoff.reset(gangAttempt.jobId);
      leaseRenewer.addGang(gangAttempt);
      await record({type: 'started', ...attemptFields});
      return;
    }
    this.recordFailedStart(gangAttempt, result.reason, result.culprit);
    if (result.mayHaveRun) {
      await stopGangAndWait(this.context, gangAttempt, STOP_NOW);
    }
    await record({
      type: 'unplaced',
      ...attemptFields,
      mayHaveRun: result.mayHaveRun,
      progressSeconds: 0,
      culprit: result.culprit,
      reason: result.reason,
    });
  }

  private findStartBlocker(gangAttempt: GangAttempt): Reason | undefined {
    if (this.context.signal.aborted) {
      return createReason('waiting-scheduler', {domain: this.context.domain});
    }
    const job = this.context.state.getJob(gangAttempt.jobId);
    if (!job || job.cancelRequested || job.phase === 'finished') {
      return createReason('cancelled', {by: 'its caller'});
    }
    const targets = gangAttempt.assignments.map(({target}) => target);
    return this.context.findStartBlocker(this.context.clock.now(), targets);
  }

  private async release(gangAttempt: GangAttempt): Promise<void> {
    await this.context.starter.stop(gangAttempt, STOP_NOW);
  }

  private recordFailedStart(
    gangAttempt: GangAttempt,
    reason: Reason,
    culprit?: string,
  ): void {
    const {clock, random, logger, health} = this.context;
    if (culprit !== undefined) {
      health.recordRefusal(culprit, clock.now());
    }
    this.backoff.recordFailure(gangAttempt.jobId, clock.now(), random.next());
    this.waitReasons.setReason(gangAttempt.jobId, reason);
    logger.info('not-started', {
      jobId: gangAttempt.jobId,
      attempt: gangAttempt.attempt,
      targets: formatTargets(gangAttempt.assignments),
      reason: reason.code,
      text: describeReason(reason),
    });
  }

  private onUnexpectedError(jobId: string, error: unknown): void {
    this.context.logger.error('launch-failed', {
      jobId,
      problem: describeError(error),
    });
    const {clock, random} = this.context;
    this.backoff.recordFailure(jobId, clock.now(), random.next());
  }
}
