/**
 * The scheduler of one failure domain. It acts only while it holds the
 * domain's term; everything it does is fenced by that term, at the targets
 * and in the ledger.
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

/** Longest time between two passes over the queue. */
const IDLE_PASS_MS: Milliseconds = 1_000;

/** A pass waits this many times the length of the one before, so that passes take a bounded share of the processor. */
const PASS_SPACING = 4;

/** One term of a scheduler. */
interface Tenure {
  context: SchedulerContext;
  abort: AbortController;
  launch: GangLaunchCoordinator;
  stop: GangStopCoordinator;
  watch: LeaseRenewerEventHandler;
  throttle: UsageThrottle;
  pass: QueuePass;
  done: Promise<void>;
}

/** The scheduler role of one instance for its own failure domain. */
export class Scheduler {
  private tenure: Tenure | undefined;
  private readonly backoff = new StartBackoff();
  private readonly waits: WaitReasonTracker;
  private wake: (() => void) | undefined;
  private isPoked = false;
  private listedLeaving: ReadonlySet<string> = new Set();

  constructor(private readonly parts: SchedulerDependencies) {
    this.waits = new WaitReasonTracker(parts.logger);
    parts.leaseRenewer.onEvent(event => this.onKeeperEvent(event));
  }

  // Queries

  /** The term that this instance schedules under, if it does. */
  get term(): Term | undefined {
    return this.tenure?.context.term;
  }

  /** What a queued job waits for, as of the last pass. */
  getWaitReason(jobId: string): Reason | undefined {
    return this.waits.getReason(jobId);
  }

  // Commands

  /** Takes over the domain under a term that the ledger has accepted. */
  activate(term: Term): void {
    if (this.tenure && isSameTerm(this.tenure.context.term, term)) {
      return;
    }
    this.deactivate('a newer term of its own');
    const abort = new AbortController();
    // Every launch and stop under way listens to the end of the term.
    setMaxListeners(0, abort.signal);
    const context = this.createContext(term, abort.signal);
    const stop = new GangStopCoordinator(context);
    const launch = new GangLaunchCoordinator(context, this.backoff, this.waits);
    const tenure: Tenure = {
      context,
      abort,
      stop,
      launch,
      watch: new LeaseRenewerEventHandler(context, stop),
      throttle: new UsageThrottle(context),
      pass: new QueuePass({
        context,
        launchCoordinator: launch,
        stopCoordinator: stop,
        backoff: this.backoff,
        waitReasons: this.waits,
      }),
      done: Promise.resolve(),
    };
    this.tenure = tenure;
    this.parts.leaseRenewer.setTerm(term);
    tenure.done = this.run(tenure).catch(error => {
      this.parts.logger.error('scheduler-failed', {
        domain: this.parts.domain,
        problem: describeError(error),
      });
    });
  }

  /** Stops acting as the scheduler at once; running gangs stay with the targets. */
  deactivate(cause: string): void {
    if (!this.tenure) {
      return;
    }
    this.parts.logger.info('term-ended', {
      domain: this.parts.domain,
      term: this.tenure.context.term,
      cause,
    });
    this.tenure.abort.abort();
    this.tenure = undefined;
    this.waits.clear();
    this.parts.leaseRenewer.clear();
    this.parts.projection.clearConditions();
  }

  /** Renews leases until `signal` aborts. */
  renewLeases(signal: AbortSignal): Promise<void> {
    return this.parts.leaseRenewer.run(signal);
  }

  /** Waits for launches and stops under way; for a planned stop. */
  async waitUntilIdle(): Promise<void> {
    await this.tenure?.launch.waitUntilIdle();
    await this.tenure?.stop.waitUntilIdle();
  }

  /** Takes notice of a folded record. The mirror must have seen it before. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!this.tenure || !applied.accepted || !record) {
      return;
    }
    if (record.type === 'claimed' && record.domain === this.parts.domain) {
      if (!isSameTerm(record.term, this.tenure.context.term)) {
        this.deactivate(`${record.term.instance} claimed the domain`);
        return;
      }
    }
    if (record.type === 'finished' || record.type === 'cancelled') {
      this.waits.remove(record.jobId);
    }
    this.requestPass();
  }

  /**
   * Takes notice of the targets that the platform's list calls leaving. The list
   * lags: only its changes count, so that it never overrules a target's own word.
   */
  onTargetsListed(leaving: ReadonlySet<string>): void {
    for (const target of leaving) {
      if (!this.listedLeaving.has(target)) {
        this.parts.logger.info('target-listed-leaving', {target});
        this.parts.health.setLeaving(target, true);
        this.requestPass();
      }
    }
    for (const target of this.listedLeaving) {
      if (!leaving.has(target)) {
        this.parts.logger.info('target-listed-live', {target});
        this.parts.health.setLeaving(target, false);
        this.requestPass();
      }
    }
    this.listedLeaving = leaving;
  }

  /** Asks for a pass over the queue. */
  requestPass(): void {
    this.isPoked = true;
    this.wake?.();
  }

  private createContext(term: Term, signal: AbortSignal): SchedulerContext {
    return {
      ...this.parts,
      term,
      signal,
      record: body => appendWithRetry(this.parts, body, signal),
      requestPass: () => this.requestPass(),
    };
  }

  private async run(tenure: Tenure): Promise<void> {
    const {signal} = tenure.context;
    await fenceAndReconcile(tenure.context);
    while (!signal.aborted) {
      const begin = this.parts.clock.now();
      this.isPoked = false;
      tenure.pass.run();
      const length = this.parts.clock.now() - begin;
      if (length * PASS_SPACING > 1) {
        await this.parts.clock.sleep(length * PASS_SPACING, signal);
      }
      await this.waitForPoke(signal);
    }
  }

  private onKeeperEvent(event: LeaseRenewerEvent): void {
    if (event.kind === 'usage') {
      this.tenure?.throttle.onUsage(event);
    } else {
      this.tenure?.watch.onEvent(event);
    }
  }

  private async waitForPoke(signal: AbortSignal): Promise<void> {
    if (this.isPoked || signal.aborted) {
      return;
    }
    const due = this.backoff.getNextDueMs(this.parts.clock.now());
    const timeout = Math.min(IDLE_PASS_MS, due ?? IDLE_PASS_MS);
    const woken = new AbortController();
    const onAbort = () => woken.abort();
    this.wake = onAbort;
    signal.addEventListener('abort', onAbort, {once: true});
    await this.parts.clock.sleep(timeout, woken.signal);
    signal.removeEventListener('abort', onAbort);
    this.wake = undefined;
  }
}
