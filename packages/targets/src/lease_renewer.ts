/** Renews the leases of running gangs, each as a whole, and tells what became of them. */
import {NO_TERM, type Term} from '@galenavalve/model';
import {type Instant, type Milliseconds, isFailure} from '@galenavalve/shared';
import type {GangAttempt} from './gang_attempt.js';
import {GangMonitor} from './gang_monitor.js';
import type {LeaseRenewerEvent} from './lease_renewer_event.js';
import type {Renewal, TargetReport} from './target_client.js';
import {
  MAX_CALLS_PER_ROUND,
  type ResolvedLeaseRenewerOptions,
  type LeaseRenewerDependencies,
  resolveLeaseRenewerOptions,
} from './lease_renewer_options.js';
import {type RenewalCall, TargetMonitor} from './target_monitor.js';

/** Share of the call timeout that a look may take. */
const LOOK_SHARE = 0.5;

/** Keeps the leases of gangs. */
export class LeaseRenewer {
  /** Length of a lease in milliseconds. */
  readonly leaseMs: Milliseconds;
  private readonly gangs = new Map<string, GangMonitor>();
  private readonly targets = new Map<string, TargetMonitor>();
  private readonly listeners: ((event: LeaseRenewerEvent) => void)[] = [];
  private idle = new Set<string>();
  private term: Term = NO_TERM;
  private lastTickAt?: Instant;
  /** Aborted when a gang is followed, to end a sleep between rounds. */
  private wake = new AbortController();
  private readonly times: ResolvedLeaseRenewerOptions;

  constructor(private readonly parts: LeaseRenewerDependencies) {
    this.times = resolveLeaseRenewerOptions(parts.options);
    this.leaseMs = this.times.leaseMs;
  }

  // Commands

  setTerm(term: Term): void {
    this.term = term;
  }

  /** Keeps a gang that was started, or that an earlier keeper has kept. */
  addGang(order: GangAttempt): void {
    this.removeGang(order.jobId);
    const watch = new GangMonitor(order, this.parts.clock.now(), this.leaseMs);
    this.gangs.set(order.jobId, watch);
    for (const target of watch.targets) {
      this.watch(target).gangs.set(order.jobId, watch);
    }
    this.wake.abort();
  }

  /** Renews the leases of a job no longer. */
  removeGang(jobId: string): void {
    const watch = this.gangs.get(jobId);
    this.gangs.delete(jobId);
    for (const target of watch?.targets ?? []) {
      this.targets.get(target)?.gangs.delete(jobId);
    }
  }

  /** Also asks these targets for their reports, slowly while they have no work. */
  setPolledTargets(targets: readonly string[]): void {
    this.idle = new Set(targets);
    for (const target of targets) {
      this.watch(target);
    }
  }

  /** Keeps nothing any more; for a scheduler whose term ended. */
  clear(): void {
    this.gangs.clear();
    this.targets.clear();
    this.idle = new Set();
    this.lastTickAt = undefined;
  }

  /** Lets the targets of a kept attempt forget it, now that its end is recorded. */
  acknowledgeEnd(jobId: string, attempt: number): void {
    const order = this.gangs.get(jobId)?.gangAttempt;
    if (order?.attempt !== attempt) {
      return;
    }
    for (const {target} of order.assignments) {
      this.watch(target).acknowledgeLease(order);
    }
  }

  onEvent(listener: (event: LeaseRenewerEvent) => void): void {
    this.listeners.push(listener);
  }

  /** Runs rounds until the abort; asks silent members again in between. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const nextAt = clock.now() + this.times.renewMs;
      await this.runRound();
      while (!signal.aborted && this.canProbeBefore(nextAt)) {
        await clock.sleep(this.times.callTimeoutMs / 2, signal);
        await this.probeUnreachable();
      }
      await this.lookUntil(nextAt, signal);
    }
  }

  /** One round: renews each gang that is well, reads all members, judges. */
  async runRound(): Promise<void> {
    const now = this.parts.clock.now();
    this.doubtAfterPause(now);
    this.dropUnused();
    const renewable = this.findRenewable();
    await this.askAll(this.findDue(now), renewable, MAX_CALLS_PER_ROUND);
    const isOnTime = this.parts.clock.now() <= now + this.times.renewMs;
    if (isOnTime) {
      await this.renewRecovered(renewable);
    }
    this.judge();
  }

  /** Asks young gangs in between rounds, so that the end of a short task is seen soon. */
  private async lookUntil(nextAt: Instant, signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && clock.now() < nextAt) {
      this.wake = new AbortController();
      const wakeAt = Math.min(nextAt, this.findNextLook());
      const either = AbortSignal.any([signal, this.wake.signal]);
      await clock.sleep(Math.max(0, wakeAt - clock.now()), either);
      await this.look();
    }
  }

  private findNextLook(): Instant {
    const looks = [...this.gangs.values()].map(watch => watch.nextPollAt);
    return Math.min(Infinity, ...looks);
  }

  /**
   * Asks the targets of the gangs whose next look is due, and judges. A look
   * renews nothing, and its silence says nothing: the rounds do that, and a
   * look must not hold them up.
   */
  private async look(): Promise<void> {
    const now = this.parts.clock.now();
    const targets = new Set<TargetMonitor>();
    for (const watch of this.gangs.values()) {
      if (watch.nextPollAt <= now) {
        watch.onPolled(now);
        [...watch.targets].forEach(target => targets.add(this.watch(target)));
      }
    }
    const answering = [...targets].filter(target => !target.isUnreachable);
    await Promise.all(answering.map(target => this.lookAt(target)));
    this.judge();
  }

  private async lookAt(target: TargetMonitor): Promise<void> {
    const terms = {term: this.term, leaseMs: this.leaseMs};
    const question = target.createRenewalCall(terms, new Set(), false);
    const sentAt = this.parts.clock.now();
    const timeout = this.times.callTimeoutMs * LOOK_SHARE;
    const report = await this.renew(target, question.renewal, timeout);
    if (report && report !== 'superseded' && !this.isLate(sentAt)) {
      this.onReport(target, report, question, sentAt);
    }
  }

  /** Asks the silent members of gangs once more, and renews the gangs that are well again. */
  async probeUnreachable(): Promise<void> {
    const renewable = this.findRenewable();
    await this.askAll(this.findSuspects(), new Set(), 1);
    await this.renewRecovered(renewable);
  }

  // Queries

  /** Tells whether the job is kept. */
  hasGang(jobId: string): boolean {
    return this.gangs.has(jobId);
  }

  /** Jobs that are kept. */
  listJobIds(): string[] {
    return [...this.gangs.keys()];
  }

  /** A pause makes every lease suspect: the members are read before any is renewed. */
  private doubtAfterPause(now: Instant): void {
    const gap = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    if (gap <= this.times.renewMs + this.times.callTimeoutMs) {
      return;
    }
    this.parts.logger.warn('lease-keeper-paused', {gapMs: gap});
    for (const watch of this.gangs.values()) {
      watch.invalidateReports();
    }
  }

  private findSuspects(): TargetMonitor[] {
    return [...this.targets.values()].filter(
      target => target.isUnreachable === true && target.gangs.size > 0,
    );
  }

  private canProbeBefore(nextAt: Instant): boolean {
    const probeMs = 1.5 * this.times.callTimeoutMs;
    return (
      this.findSuspects().length > 0 &&
      this.parts.clock.now() + probeMs <= nextAt
    );
  }

  private findRenewable(): Set<GangMonitor> {
    const watches = [...this.gangs.values()];
    return new Set(watches.filter(watch => watch.isRenewable()));
  }

  /** Renews gangs whose members all answered well, but not yet when the round began. */
  private async renewRecovered(
    renewed: ReadonlySet<GangMonitor>,
  ): Promise<void> {
    const targets = new Set<TargetMonitor>();
    for (const watch of this.findRenewable()) {
      if (!renewed.has(watch)) {
        [...watch.targets].forEach(target => targets.add(this.watch(target)));
      }
    }
    await this.askAll([...targets], this.findRenewable(), MAX_CALLS_PER_ROUND);
  }

  private findDue(now: Instant): TargetMonitor[] {
    return [...this.targets.values()].filter(
      target =>
        target.hasWork || now - target.lastPolledAt >= this.times.idlePollMs,
    );
  }

  private async askAll(
    targets: readonly TargetMonitor[],
    renewable: ReadonlySet<GangMonitor>,
    calls: number,
  ): Promise<void> {
    const now = this.parts.clock.now();
    const terms = {term: this.term, leaseMs: this.leaseMs};
    const questions = targets.map(target => {
      target.lastPolledAt = now;
      const withUsage = target.isUsageDue(now, this.times.usagePollMs);
      const question = target.createRenewalCall(terms, renewable, withUsage);
      return this.ask(target, question, calls);
    });
    await Promise.all(questions);
  }

  private async ask(
    target: TargetMonitor,
    question: RenewalCall,
    calls: number,
  ): Promise<void> {
    for (let call = 0; call < calls; call++) {
      const sentAt = this.parts.clock.now();
      const report = await this.renew(target, question.renewal);
      if (report === 'superseded') {
        this.emit({kind: 'target-superseded', target: target.id});
        break;
      }
      if (report && !this.isLate(sentAt)) {
        this.onReport(target, report, question, sentAt);
        return;
      }
    }
    this.onSilence(target, question);
  }

  /** An answer that lay unread while the process was paused is too old to act on. */
  private isLate(sentAt: Instant): boolean {
    return this.parts.clock.now() > sentAt + 2 * this.times.callTimeoutMs;
  }

  private async renew(
    target: TargetMonitor,
    order: Renewal,
    timeout = this.times.callTimeoutMs,
  ): Promise<TargetReport | 'superseded' | undefined> {
    const address = this.parts.findAddress(target.id);
    if (!address) {
      return undefined;
    }
    try {
      const {client} = this.parts;
      return await client.renew(address, order, timeout);
    } catch (error) {
      return isFailure(error, 'target-refused') ? 'superseded' : undefined;
    }
  }

  private onReport(
    target: TargetMonitor,
    report: TargetReport,
    question: RenewalCall,
    sentAt: Instant,
  ): void {
    const {id, isUnreachable: isSilent, isLeaving} = target;
    target.onReport(report, question, sentAt);
    // Also at the first answer: an earlier keeper may have found it otherwise.
    if (isSilent !== false) {
      target.isUnreachable = false;
      this.emit({kind: 'target-answering', target: id});
    }
    if (isLeaving !== target.isLeaving) {
      const kind = target.isLeaving ? 'target-leaving' : 'target-staying';
      this.emit({kind, target: id});
    }
    if (question.renewal.withUsage) {
      target.onUsageRequested(sentAt);
      const {usage, usageAgeMs: ageMs} = report;
      if (usage.length > 0) {
        this.emit({kind: 'usage', target: id, ageMs, usage});
      }
    }
  }

  private onSilence(target: TargetMonitor, question: RenewalCall): void {
    question.monitors.forEach(watch => watch.onUnreachable(target.id));
    if (!target.isUnreachable) {
      target.isUnreachable = true;
      this.emit({kind: 'target-silent', target: target.id});
    }
  }

  private judge(): void {
    const now = this.parts.clock.now();
    for (const watch of [...this.gangs.values()]) {
      const verdict = watch.evaluate(now, this.times.callTimeoutMs);
      if (verdict) {
        this.emit(verdict);
      }
    }
  }

  private watch(target: string): TargetMonitor {
    const watched = this.targets.get(target) ?? new TargetMonitor(target);
    this.targets.set(target, watched);
    return watched;
  }

  private dropUnused(): void {
    for (const [id, target] of this.targets) {
      if (!target.hasWork && !this.idle.has(id)) {
        this.targets.delete(id);
      }
    }
  }

  private emit(event: LeaseRenewerEvent): void {
    const level = event.kind === 'usage' ? 'debug' : 'info';
    this.parts.logger[level](`keeper-${event.kind}`, {...event});
    for (const listener of this.listeners) {
      listener(event);
    }
  }
}
