/**
 * Starts one gang whole or not at all: reserve on every target, record the
 * intent, start. Each step can fail; none leaves a part of the gang running
 * beyond the bound that the targets package states.
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

/** Longest time that reservations are kept while the append is pending. */
const APPEND_BOUND_MS: Milliseconds = 4_000;

/** Launches gangs for one term of a domain's scheduler. */
export class GangLaunchCoordinator {
  private readonly starting = new Map<string, Promise<void>>();

  constructor(
    private readonly context: SchedulerContext,
    private readonly backoff: StartBackoff,
    private readonly waits: WaitReasonTracker,
  ) {}

  /** Tells whether the job is between decision and start. */
  isStarting(jobId: string): boolean {
    return this.starting.has(jobId);
  }

  /** Begins to carry out a decision. */
  begin(decision: PlacementDecision): void {
    const job = this.context.state.getJob(decision.jobId);
    if (!job || job.phase !== 'queued' || this.isStarting(job.jobId)) {
      return;
    }
    this.occupy(job, decision);
    const launch = this.launch(job, decision)
      .catch(error => this.onUnexpected(job.jobId, error))
      .finally(() => {
        this.starting.delete(job.jobId);
        this.context.projection.removePending(job.jobId);
        this.context.requestPass();
      });
    this.starting.set(job.jobId, launch);
  }

  /** Resolves when no launch is under way. */
  async waitUntilIdle(): Promise<void> {
    await Promise.all(this.starting.values());
  }

  private occupy(job: Job, decision: PlacementDecision): void {
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
    const order = createGangAttempt(
      job,
      job.attempts + 1,
      this.context.term,
      decision.assignments,
    );
    const bar = this.findBar(order);
    if (bar) {
      this.giveUp(order, bar);
      return;
    }
    const reserved = await this.context.starter.reserve(order);
    if (reserved.kind === 'refused') {
      this.giveUp(order, reserved.reason, reserved.culprit);
      return;
    }
    const isPlaced = await this.recordIntent(order, decision);
    if (!isPlaced) {
      await this.release(order);
      return;
    }
    await this.start(order);
  }

  /** Appends `placed` while the reservations are renewed. */
  private async recordIntent(
    order: GangAttempt,
    decision: PlacementDecision,
  ): Promise<boolean> {
    const {clock, starter, writer, domain, term} = this.context;
    const deadline = clock.now() + APPEND_BOUND_MS;
    const appended = new AbortController();
    const kept = starter.renewReservations(order, deadline, appended.signal);
    try {
      const applied = await writer.append(
        {
          type: 'placed',
          jobId: order.jobId,
          attempt: order.attempt,
          domain,
          term,
          assignments: [...order.assignments],
          guaranteed: decision.guaranteed,
          reason: decision.reason,
        },
        {deadline},
      );
      return this.isAccepted(order, applied);
    } catch (error) {
      // An append of unknown fate may still be accepted later; the scheduler
      // then sees a `placed` that it is not starting, and takes it back.
      const isKnown = isFailure(error, 'log-unavailable');
      this.giveUp(
        order,
        createReason(isKnown ? 'waiting-stale' : 'start-unknown', {
          target: 'no target',
        }),
      );
      return false;
    } finally {
      appended.abort();
      await kept;
    }
  }

  private isAccepted(order: GangAttempt, applied: FoldResult): boolean {
    if (applied.accepted) {
      return true;
    }
    this.context.logger.info('placement-rejected', {
      jobId: order.jobId,
      attempt: order.attempt,
      rejection: applied.rejection,
    });
    return false;
  }

  private async start(order: GangAttempt): Promise<void> {
    const {
      starter,
      leaseRenewer: keeper,
      record,
      domain,
      term,
      logger,
    } = this.context;
    const result = await starter.start(order, () => this.findBar(order));
    const attempt = {
      jobId: order.jobId,
      attempt: order.attempt,
      domain,
      term,
    };
    if (result.kind === 'started') {
      logger.info('started', {
        ...attempt,
        targets: formatTargets(order.assignments),
      });
      this.backoff.reset(order.jobId);
      keeper.addGang(order);
      await record({type: 'started', ...attempt});
      return;
    }
    this.giveUp(order, result.reason, result.culprit);
    if (result.mayHaveRun) {
      await stopGangAndWait(this.context, order, STOP_NOW);
    }
    await record({
      type: 'unplaced',
      ...attempt,
      mayHaveRun: result.mayHaveRun,
      progressSeconds: 0,
      culprit: result.culprit,
      reason: result.reason,
    });
  }

  private findBar(order: GangAttempt): Reason | undefined {
    if (this.context.signal.aborted) {
      return createReason('waiting-scheduler', {domain: this.context.domain});
    }
    const job = this.context.state.getJob(order.jobId);
    if (!job || job.cancelRequested || job.phase === 'finished') {
      return createReason('cancelled', {by: 'its caller'});
    }
    const targets = order.assignments.map(({target}) => target);
    return this.context.findStartBlocker(this.context.clock.now(), targets);
  }

  private async release(order: GangAttempt): Promise<void> {
    await this.context.starter.stop(order, STOP_NOW);
  }

  private giveUp(order: GangAttempt, reason: Reason, culprit?: string): void {
    const {clock, random, logger, health} = this.context;
    if (culprit !== undefined) {
      health.noteRefusal(culprit, clock.now());
    }
    this.backoff.noteFailure(order.jobId, clock.now(), random.next());
    this.waits.setReason(order.jobId, reason);
    logger.info('not-started', {
      jobId: order.jobId,
      attempt: order.attempt,
      targets: formatTargets(order.assignments),
      reason: reason.code,
      text: describeReason(reason),
    });
  }

  private onUnexpected(jobId: string, error: unknown): void {
    this.context.logger.error('launch-failed', {
      jobId,
      problem: describeError(error),
    });
    const {clock, random} = this.context;
    this.backoff.noteFailure(jobId, clock.now(), random.next());
  }
}
