/**
 * The scheduler of one failure domain. It acts only while it holds the
 * domain's term; everything it does is fenced by that term, at the targets
 * and in the ledger.
 */
import {setMaxListeners} from 'node:events';
import type {Applied} from '@galenavalve/ledger';
import {
  type Configuration,
  type Reason,
  type Term,
  createReason,
  describeReason,
  isSameTerm,
} from '@galenavalve/model';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {KeeperEvent} from '@galenavalve/targets';
import {appendDurably} from './durable_append.js';
import {QueueMoves, evacuate} from './evacuation.js';
import {GangLaunch} from './gang_launch.js';
import {GangStop} from './gang_stop.js';
import {GangWatch} from './gang_watch.js';
import {listTargets} from './gang_order.js';
import type {SchedulerContext, SchedulerParts} from './schedule_context.js';
import {takeOver} from './takeover.js';
import {StartBackoff, readQueue} from './waiting_queue.js';

/** Longest time between two passes over the queue. */
const IDLE_PASS_MS: Milliseconds = 1_000;

/** A pass waits this many times the length of the one before, so that passes take a bounded share of the processor. */
const PASS_SPACING = 4;

/** One term of a scheduler. */
interface Tenure {
  context: SchedulerContext;
  abort: AbortController;
  launch: GangLaunch;
  stop: GangStop;
  watch: GangWatch;
  moves: QueueMoves;
  done: Promise<void>;
}

/** The scheduler role of one instance for its own failure domain. */
export class Scheduler {
  private tenure: Tenure | undefined;
  private readonly backoff = new StartBackoff();
  private waits = new Map<string, Reason>();
  private wake: (() => void) | undefined;
  private isPoked = false;
  /** The domain's targets, remembered while the configuration stays the same. */
  private targets?: {configuration: Configuration; names: string[]};

  constructor(private readonly parts: SchedulerParts) {
    parts.keeper.onEvent(event => this.onKeeperEvent(event));
  }

  // Queries

  /** The term that this instance schedules under, if it does. */
  get term(): Term | undefined {
    return this.tenure?.context.term;
  }

  /** What a queued job waits for, as of the last pass. */
  waitReason(jobId: string): Reason | undefined {
    return this.waits.get(jobId);
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
    const stop = new GangStop(context);
    const tenure: Tenure = {
      context,
      abort,
      stop,
      launch: new GangLaunch(context, this.backoff, (jobId, reason) =>
        this.noteWait(jobId, reason),
      ),
      watch: new GangWatch(context, stop),
      moves: new QueueMoves(context),
      done: Promise.resolve(),
    };
    this.tenure = tenure;
    this.parts.keeper.setTerm(term);
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
    this.parts.keeper.clear();
    this.forgetConditions();
  }

  /** Renews leases until `signal` aborts. */
  keepLeases(signal: AbortSignal): Promise<void> {
    return this.parts.keeper.run(signal);
  }

  /** Waits for launches and stops under way; for a planned stop. */
  async settle(): Promise<void> {
    await this.tenure?.launch.settle();
    await this.tenure?.stop.settle();
  }

  /** Takes notice of a folded record. The mirror must have seen it before. */
  onApplied(applied: Applied): void {
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
    if (record.type === 'cancelled') {
      this.onCancelled(record.jobId, record.reason);
    }
    if (record.type === 'finished' || record.type === 'cancelled') {
      this.waits.delete(record.jobId);
    }
    this.poke();
  }

  /** Asks for a pass over the queue. */
  poke(): void {
    this.isPoked = true;
    this.wake?.();
  }

  private createContext(term: Term, signal: AbortSignal): SchedulerContext {
    return {
      ...this.parts,
      term,
      signal,
      record: body => appendDurably(this.parts, body, signal),
      poke: () => this.poke(),
    };
  }

  private async run(tenure: Tenure): Promise<void> {
    const {signal} = tenure.context;
    await takeOver(tenure.context);
    while (!signal.aborted) {
      const begin = this.parts.clock.now();
      this.isPoked = false;
      this.pass(tenure);
      const length = this.parts.clock.now() - begin;
      if (length * PASS_SPACING > 1) {
        await this.parts.clock.sleep(length * PASS_SPACING, signal);
      }
      await this.waitForPoke(signal);
    }
  }

  private pass(tenure: Tenure): void {
    const {domain, state, mirror, policy, clock} = this.parts;
    const now = clock.now();
    this.refreshConditions(now);
    this.takeBackOrphans(tenure);
    this.stopCancelled(tenure);
    evacuate(tenure.context, tenure.stop);
    const bar = this.parts.findBar(now, []);
    const queue = readQueue(
      state,
      domain,
      jobId => tenure.launch.isStarting(jobId),
      this.backoff,
      now,
      clock.wallTime(),
    );
    for (const {jobId, reason} of queue.held) {
      this.noteWait(jobId, reason);
    }
    if (bar) {
      for (const {jobId} of queue.waiting) {
        this.noteWait(jobId, bar);
        tenure.moves.consider(jobId, clock.wallTime());
      }
      return;
    }
    const decisions = policy.decide(
      mirror.cells,
      queue.waiting,
      clock.wallTime(),
    );
    for (const decision of decisions.placements) {
      this.parts.logger.info('placed', {
        jobId: decision.jobId,
        targets: listTargets(decision.assignments),
        guaranteed: decision.guaranteed,
        reason: decision.reason.code,
        text: describeReason(decision.reason),
      });
      this.waits.delete(decision.jobId);
      tenure.launch.begin(decision);
    }
    for (const decision of decisions.reclaims) {
      this.noteWait(decision.forJob, decision.reason);
      this.reclaim(tenure, decision.forJob, decision.victims);
    }
    for (const {jobId, reason} of decisions.waits) {
      this.noteWait(jobId, reason);
      tenure.moves.consider(jobId, clock.wallTime());
    }
  }

  private reclaim(
    tenure: Tenure,
    forJob: string,
    victims: readonly string[],
  ): void {
    const workspace = this.parts.state.job(forJob)?.request.workspace ?? '';
    const reason = createReason('preempted-reclaim', {workspace});
    this.parts.logger.info('reclaim', {forJob, victims});
    for (const jobId of victims) {
      const job = this.parts.state.job(jobId);
      if (job) {
        tenure.stop.begin(job, {reason, checkpoint: true});
      }
    }
  }

  /**
   * An append of unknown fate can be accepted after its launch was given up.
   * This scheduler started nothing for it, and nobody else can under its term.
   */
  private takeBackOrphans(tenure: Tenure): void {
    const {state, domain} = this.parts;
    for (const job of state.activeIn(domain)) {
      const isOrphan =
        job.phase === 'placed' &&
        job.term !== undefined &&
        isSameTerm(job.term, tenure.context.term) &&
        !tenure.launch.isStarting(job.jobId) &&
        !tenure.stop.isStopping(job.jobId) &&
        !this.parts.keeper.isFollowing(job.jobId);
      if (isOrphan) {
        void tenure.context.record({
          type: 'unplaced',
          jobId: job.jobId,
          attempt: job.attempts,
          domain,
          term: tenure.context.term,
          mayHaveRun: false,
          progressSeconds: job.progressSeconds,
          reason: createReason('fenced-not-started'),
        });
      }
    }
  }

  /** Shows the policy what is known of the targets' health; quarantines end with time. */
  private refreshConditions(now: number): void {
    const {health, mirror, keeper} = this.parts;
    const targets = this.listTargets();
    keeper.followTargets(targets);
    for (const target of targets) {
      mirror.setCondition(target, health.condition(target, now));
    }
  }

  /** Without a term nothing more is seen of the targets, and old sights would mislead routing. */
  private forgetConditions(): void {
    for (const target of this.listTargets()) {
      this.parts.mirror.setCondition(target, 'well');
    }
  }

  private listTargets(): string[] {
    const {state, domain} = this.parts;
    if (this.targets?.configuration !== state.configuration) {
      const names = [...state.configuration.targets.values()]
        .filter(target => target.domain === domain)
        .map(target => target.id);
      this.targets = {configuration: state.configuration, names};
    }
    return this.targets.names;
  }

  private onCancelled(jobId: string, reason: Reason): void {
    const job = this.parts.state.job(jobId);
    if (!job || !this.tenure || job.domain !== this.parts.domain) {
      return;
    }
    if (job.phase === 'running') {
      this.tenure.stop.begin(job, {reason, checkpoint: false});
    }
  }

  /** Stops gangs that were cancelled while they started. */
  private stopCancelled(tenure: Tenure): void {
    const cancelled = [...this.parts.state.activeIn(this.parts.domain)].filter(
      job => job.phase === 'running' && job.cancelRequested,
    );
    for (const job of cancelled) {
      const reason =
        job.cancelReason ?? createReason('cancelled', {by: 'its caller'});
      tenure.stop.begin(job, {reason, checkpoint: false});
    }
  }

  private onKeeperEvent(event: KeeperEvent): void {
    this.tenure?.watch.onKeeperEvent(event);
  }

  private noteWait(jobId: string, reason: Reason): void {
    const before = this.waits.get(jobId);
    this.waits.set(jobId, reason);
    if (before?.code !== reason.code) {
      this.parts.logger.info('waits', {
        jobId,
        reason: reason.code,
        text: describeReason(reason),
      });
    }
  }

  private async waitForPoke(signal: AbortSignal): Promise<void> {
    if (this.isPoked || signal.aborted) {
      return;
    }
    const due = this.backoff.nextDue(this.parts.clock.now());
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
