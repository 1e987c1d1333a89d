/**
 * The scheduler of one failure domain. It acts only while it holds the domain's
 * term. The term is a fencing token: targets refuse commands, and the ledger
 * rejects records, that carry a lower one.
 */
import {setMaxListeners} from 'node:events';
import type {FoldResult} from '@galenavalve/ledger';
import {type Reason, type Term, isSameTerm} from '@galenavalve/model';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {LeaseRenewerEvent} from '@galenavalve/targets';
import {appendWithRetry} from './append_with_retry.js';
import {GangLaunchCoordinator} from './gang_launch_coordinator.js';
import {GangStopCoordinator} from './gang_stop_coordinator.js';
import {LeaseRenewerEventHandler} from './lease_renewer_event_handler.js';
import {QueuePass} from './queue_pass.js';
import type {
  SchedulerContext,
  SchedulerDependencies,
} from './scheduler_context.js';
import {fenceAndReconcile} from './takeover.js';
import {UsageThrottle} from './usage_throttle.js';
import {WaitReasonTracker} from './wait_reason_tracker.js';
import {StartBackoff} from './waiting_queue.js';

/** Longest time between two passes over the queue when none is requested. */
const MAX_PASS_INTERVAL_MS: Milliseconds = 1_000;

/**
 * Delay before the next pass, as a multiple of the duration of the previous one.
 * Limits the share of processor time that passes take.
 */
const PASS_DELAY_FACTOR = 4;

/** State of the term that the scheduler holds. */
interface ActiveTerm {
  context: SchedulerContext;
  abort: AbortController;
  launchCoordinator: GangLaunchCoordinator;
  stopCoordinator: GangStopCoordinator;
  eventHandler: LeaseRenewerEventHandler;
  throttle: UsageThrottle;
  pass: QueuePass;
  done: Promise<void>;
}

/** Runs the scheduler role of one instance for its own failure domain. */
export class Scheduler {
  private activeTerm: ActiveTerm | undefined;
  private readonly backoff = new StartBackoff();
  private readonly waitReasons: WaitReasonTracker;
  private wake: (() => void) | undefined;
  private isPassRequested = false;
  private listedLeavingTargets: ReadonlySet<string> = new Set();

  constructor(private readonly dependencies: SchedulerDependencies) {
    this.waitReasons = new WaitReasonTracker(dependencies.logger);
    dependencies.leaseRenewer.onEvent(event => this.onLeaseRenewerEvent(event));
  }

  // Queries

  /** Term under which this instance schedules; undefined while it is inactive. */
  get term(): Term | undefined {
    return this.activeTerm?.context.term;
  }

  /** Returns why a queued job waits, as of the latest pass. */
  getWaitReason(jobId: string): Reason | undefined {
    return this.waitReasons.getReason(jobId);
  }

  // Commands

  /** Begins a takeover of the domain under a term that the ledger has accepted. */
  activate(term: Term): void {
    if (this.activeTerm && isSameTerm(this.activeTerm.context.term, term)) {
      return;
    }
    this.deactivate('this instance has a newer term');
    const abort = new AbortController();
    // Every launch and stop in progress adds a listener to this signal.
    setMaxListeners(0, abort.signal);
    const context = this.createContext(term, abort.signal);
    const stopCoordinator = new GangStopCoordinator(context);
    const launchCoordinator = new GangLaunchCoordinator(
      context,
      this.backoff,
      this.waitReasons,
    );
    const activeTerm: ActiveTerm = {
      context,
      abort,
      stopCoordinator,
      launchCoordinator,
      eventHandler: new LeaseRenewerEventHandler(context, stopCoordinator),
      throttle: new UsageThrottle(context),
      pass: new QueuePass({
        context,
        launchCoordinator,
        stopCoordinator,
        backoff: this.backoff,
        waitReasons: this.waitReasons,
      }),
      done: Promise.resolve(),
    };
    this.activeTerm = activeTerm;
    this.dependencies.leaseRenewer.setTerm(term);
    activeTerm.done = this.run(activeTerm).catch(error => {
      this.dependencies.logger.error('scheduler-failed', {
        domain: this.dependencies.domain,
        problem: describeError(error),
      });
    });
  }

  /** Stops acting as the scheduler at once; gangs keep running on their targets. */
  deactivate(cause: string): void {
    if (!this.activeTerm) {
      return;
    }
    this.dependencies.logger.info('term-ended', {
      domain: this.dependencies.domain,
      term: this.activeTerm.context.term,
      cause,
    });
    this.activeTerm.abort.abort();
    this.activeTerm = undefined;
    this.waitReasons.clear();
    this.dependencies.leaseRenewer.clear();
    this.dependencies.projection.clearConditions();
  }

  /** Renews leases until `signal` aborts. */
  renewLeases(signal: AbortSignal): Promise<void> {
    return this.dependencies.leaseRenewer.run(signal);
  }

  /** Resolves when all launches and stops in progress have ended; used for a planned stop. */
  async waitUntilIdle(): Promise<void> {
    await this.activeTerm?.launchCoordinator.waitUntilIdle();
    await this.activeTerm?.stopCoordinator.waitUntilIdle();
  }

  /** Handles a folded record. The domain's `CellsProjection` must have applied it before. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!this.activeTerm || !applied.accepted || !record) {
      return;
    }
    if (
      record.type === 'claimed' &&
      record.domain === this.dependencies.domain
    ) {
      if (!isSameTerm(record.term, this.activeTerm.context.term)) {
        this.deactivate(`${record.term.instance} claimed the domain`);
        return;
      }
    }
    if (record.type === 'finished' || record.type === 'cancelled') {
      this.waitReasons.remove(record.jobId);
    }
    this.requestPass();
  }

  /**
   * Handles the targets that the platform's list marks as leaving. The list lags
   * behind the targets, so only changes in it are applied; otherwise it would
   * override newer reports of the targets themselves.
   */
  onTargetsListed(leaving: ReadonlySet<string>): void {
    for (const target of leaving) {
      if (!this.listedLeavingTargets.has(target)) {
        this.dependencies.logger.info('target-listed-leaving', {target});
        this.dependencies.health.setLeaving(target, true);
        this.requestPass();
      }
    }
    for (const target of this.listedLeavingTargets) {
      if (!leaving.has(target)) {
        this.dependencies.logger.info('target-listed-live', {target});
        this.dependencies.health.setLeaving(target, false);
        this.requestPass();
      }
    }
    this.listedLeavingTargets = leaving;
  }

  /** Requests another pass over the queue. */
  requestPass(): void {
    this.isPassRequested = true;
    this.wake?.();
  }

  private createContext(term: Term, signal: AbortSignal): SchedulerContext {
    return {
      ...this.dependencies,
      term,
      signal,
      record: body => appendWithRetry(this.dependencies, body, signal),
      requestPass: () => this.requestPass(),
    };
  }

  private async run(activeTerm: ActiveTerm): Promise<void> {
    const {signal} = activeTerm.context;
    await fenceAndReconcile(activeTerm.context);
    while (!signal.aborted) {
      const startedAt = this.dependencies.clock.now();
      this.isPassRequested = false;
      activeTerm.pass.run();
      const durationMs = this.dependencies.clock.now() - startedAt;
      if (durationMs * PASS_DELAY_FACTOR > 1) {
        await this.dependencies.clock.sleep(
          durationMs * PASS_DELAY_FACTOR,
          signal,
        );
      }
      await this.waitForPassRequest(signal);
    }
  }

  private onLeaseRenewerEvent(event: LeaseRenewerEvent): void {
    if (event.kind === 'usage') {
      this.activeTerm?.throttle.onUsage(event);
    } else {
      this.activeTerm?.eventHandler.onEvent(event);
    }
  }

  private async waitForPassRequest(signal: AbortSignal): Promise<void> {
    if (this.isPassRequested || signal.aborted) {
      return;
    }
    const nextRetryMs = this.backoff.getNextDueMs(
      this.dependencies.clock.now(),
    );
    const timeoutMs = Math.min(
      MAX_PASS_INTERVAL_MS,
      nextRetryMs ?? MAX_PASS_INTERVAL_MS,
    );
    const wakeController = new AbortController();
    const wakeUp = () => wakeController.abort();
    this.wake = wakeUp;
    signal.addEventListener('abort', wakeUp, {once: true});
    await this.dependencies.clock.sleep(timeoutMs, wakeController.signal);
    signal.removeEventListener('abort', wakeUp);
    this.wake = undefined;
  }
}
