/**
 * Renews the leases of running gangs and reports their outcomes. A gang is renewed
 * as a whole: when one member fails, is lost or is unreachable, no member is
 * renewed, so that all of them end.
 */
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

/** Timeout of a poll between rounds, as a share of the call timeout. */
const POLL_TIMEOUT_SHARE = 0.5;

/** Renews leases in rounds, and polls targets and young gangs between them. */
export class LeaseRenewer {
  /** Length of a lease in milliseconds. */
  readonly leaseMs: Milliseconds;
  private readonly gangs = new Map<string, GangMonitor>();
  private readonly targets = new Map<string, TargetMonitor>();
  private readonly listeners: ((event: LeaseRenewerEvent) => void)[] = [];
  /** Targets that are polled even without work. */
  private polledTargets = new Set<string>();
  private term: Term = NO_TERM;
  private lastRoundAt?: Instant;
  /** Aborted when a gang is added, to end a sleep between rounds. */
  private wake = new AbortController();
  private readonly options: ResolvedLeaseRenewerOptions;

  constructor(private readonly dependencies: LeaseRenewerDependencies) {
    this.options = resolveLeaseRenewerOptions(dependencies.options);
    this.leaseMs = this.options.leaseMs;
  }

  // Commands

  /** Sets the term that calls to targets carry. */
  setTerm(term: Term): void {
    this.term = term;
  }

  /** Adds a gang that was started here or by an earlier scheduler. */
  addGang(gangAttempt: GangAttempt): void {
    this.removeGang(gangAttempt.jobId);
    const monitor = new GangMonitor(
      gangAttempt,
      this.dependencies.clock.now(),
      this.leaseMs,
    );
    this.gangs.set(gangAttempt.jobId, monitor);
    for (const target of monitor.targets) {
      this.getOrCreateMonitor(target).gangs.set(gangAttempt.jobId, monitor);
    }
    this.wake.abort();
  }

  /** Stops renewing the leases of a job. */
  removeGang(jobId: string): void {
    const monitor = this.gangs.get(jobId);
    this.gangs.delete(jobId);
    for (const target of monitor?.targets ?? []) {
      this.targets.get(target)?.gangs.delete(jobId);
    }
  }

  /** Sets the targets that are polled even without work, then at `idlePollMs`. */
  setPolledTargets(targets: readonly string[]): void {
    this.polledTargets = new Set(targets);
    for (const target of targets) {
      this.getOrCreateMonitor(target);
    }
  }

  /** Removes all gangs and targets; used when the scheduler's term ends. */
  clear(): void {
    this.gangs.clear();
    this.targets.clear();
    this.polledTargets = new Set();
    this.lastRoundAt = undefined;
  }

  /** Allows the targets of an attempt to remove its lease, once the end is recorded. */
  acknowledgeEnd(jobId: string, attempt: number): void {
    const gangAttempt = this.gangs.get(jobId)?.gangAttempt;
    if (gangAttempt?.attempt !== attempt) {
      return;
    }
    for (const {target} of gangAttempt.assignments) {
      this.getOrCreateMonitor(target).acknowledgeLease(gangAttempt);
    }
  }

  /** Adds a listener for events. */
  onEvent(listener: (event: LeaseRenewerEvent) => void): void {
    this.listeners.push(listener);
  }

  /** Runs rounds until the abort; calls unreachable targets with gangs again between rounds. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.dependencies;
    while (!signal.aborted) {
      const nextAt = clock.now() + this.options.renewMs;
      await this.runRound();
      while (!signal.aborted && this.canProbeBefore(nextAt)) {
        await clock.sleep(this.options.callTimeoutMs / 2, signal);
        await this.probeUnreachable();
      }
      await this.pollUntil(nextAt, signal);
    }
  }

  /**
   * Runs one round: renews each healthy gang, reads the reports of all members
   * and evaluates the gangs.
   */
  async runRound(): Promise<void> {
    const now = this.dependencies.clock.now();
    this.invalidateReportsAfterPause(now);
    this.removeUnusedTargets();
    const renewable = this.listRenewableGangs();
    await this.callTargets(
      this.listDueTargets(now),
      renewable,
      MAX_CALLS_PER_ROUND,
    );
    const isOnTime =
      this.dependencies.clock.now() <= now + this.options.renewMs;
    if (isOnTime) {
      await this.renewRecovered(renewable);
    }
    this.evaluateGangs();
  }

  /** Polls young gangs until the next round, so that the end of a short task is detected early. */
  private async pollUntil(nextAt: Instant, signal: AbortSignal): Promise<void> {
    const {clock} = this.dependencies;
    while (!signal.aborted && clock.now() < nextAt) {
      this.wake = new AbortController();
      const wakeAt = Math.min(nextAt, this.findNextPollAt());
      const wakeSignal = AbortSignal.any([signal, this.wake.signal]);
      await clock.sleep(Math.max(0, wakeAt - clock.now()), wakeSignal);
      await this.pollDueGangs();
    }
  }

  private findNextPollAt(): Instant {
    const pollTimes = [...this.gangs.values()].map(
      monitor => monitor.nextPollAt,
    );
    return Math.min(Infinity, ...pollTimes);
  }

  /**
   * Polls the targets of the gangs whose poll is due, and evaluates the gangs. A
   * poll renews no lease, and a target that does not respond to it does not count
   * as unreachable. Only rounds do both, and a poll must not delay them.
   */
  private async pollDueGangs(): Promise<void> {
    const now = this.dependencies.clock.now();
    const targets = new Set<TargetMonitor>();
    for (const monitor of this.gangs.values()) {
      if (monitor.nextPollAt <= now) {
        monitor.onPolled(now);
        [...monitor.targets].forEach(target =>
          targets.add(this.getOrCreateMonitor(target)),
        );
      }
    }
    const reachable = [...targets].filter(target => !target.isUnreachable);
    await Promise.all(reachable.map(target => this.pollTarget(target)));
    this.evaluateGangs();
  }

  private async pollTarget(target: TargetMonitor): Promise<void> {
    const parameters = {term: this.term, leaseMs: this.leaseMs};
    const call = target.createRenewalCall(parameters, new Set(), false);
    const sentAt = this.dependencies.clock.now();
    const timeoutMs = this.options.callTimeoutMs * POLL_TIMEOUT_SHARE;
    const report = await this.renew(target, call.renewal, timeoutMs);
    if (report && report !== 'superseded' && !this.isResponseLate(sentAt)) {
      this.onReport(target, report, call, sentAt);
    }
  }

  /**
   * Calls the unreachable targets with gangs once more, and renews the gangs
   * that have recovered.
   */
  async probeUnreachable(): Promise<void> {
    const renewable = this.listRenewableGangs();
    await this.callTargets(this.listUnreachableMembers(), new Set(), 1);
    await this.renewRecovered(renewable);
  }

  // Queries

  /** Returns whether the leases of the job are renewed. */
  hasGang(jobId: string): boolean {
    return this.gangs.has(jobId);
  }

  /** Lists the jobs whose leases are renewed. */
  listJobIds(): string[] {
    return [...this.gangs.keys()];
  }

  /**
   * Invalidates all reports after a pause of the process. Leases may have expired
   * meanwhile, so all members are read before any lease is renewed.
   */
  private invalidateReportsAfterPause(now: Instant): void {
    const gapMs = now - (this.lastRoundAt ?? now);
    this.lastRoundAt = now;
    if (gapMs <= this.options.renewMs + this.options.callTimeoutMs) {
      return;
    }
    this.dependencies.logger.warn('lease-keeper-paused', {gapMs});
    for (const monitor of this.gangs.values()) {
      monitor.invalidateReports();
    }
  }

  private listUnreachableMembers(): TargetMonitor[] {
    return [...this.targets.values()].filter(
      target => target.isUnreachable === true && target.gangs.size > 0,
    );
  }

  private canProbeBefore(nextAt: Instant): boolean {
    const probeMs = 1.5 * this.options.callTimeoutMs;
    return (
      this.listUnreachableMembers().length > 0 &&
      this.dependencies.clock.now() + probeMs <= nextAt
    );
  }

  private listRenewableGangs(): Set<GangMonitor> {
    const monitors = [...this.gangs.values()];
    return new Set(monitors.filter(monitor => monitor.isRenewable()));
  }

  /** Renews the gangs that became renewable after `renewed` was determined. */
  private async renewRecovered(
    renewed: ReadonlySet<GangMonitor>,
  ): Promise<void> {
    const targets = new Set<TargetMonitor>();
    for (const monitor of this.listRenewableGangs()) {
      if (!renewed.has(monitor)) {
        [...monitor.targets].forEach(target =>
          targets.add(this.getOrCreateMonitor(target)),
        );
      }
    }
    await this.callTargets(
      [...targets],
      this.listRenewableGangs(),
      MAX_CALLS_PER_ROUND,
    );
  }

  private listDueTargets(now: Instant): TargetMonitor[] {
    return [...this.targets.values()].filter(
      target =>
        target.hasWork || now - target.lastPolledAt >= this.options.idlePollMs,
    );
  }

  private async callTargets(
    targets: readonly TargetMonitor[],
    renewable: ReadonlySet<GangMonitor>,
    maxCalls: number,
  ): Promise<void> {
    const now = this.dependencies.clock.now();
    const parameters = {term: this.term, leaseMs: this.leaseMs};
    const calls = targets.map(target => {
      target.lastPolledAt = now;
      const withUsage = target.isUsageDue(now, this.options.usagePollMs);
      const call = target.createRenewalCall(parameters, renewable, withUsage);
      return this.callTarget(target, call, maxCalls);
    });
    await Promise.all(calls);
  }

  private async callTarget(
    target: TargetMonitor,
    call: RenewalCall,
    maxCalls: number,
  ): Promise<void> {
    for (let attempt = 0; attempt < maxCalls; attempt++) {
      const sentAt = this.dependencies.clock.now();
      const report = await this.renew(target, call.renewal);
      if (report === 'superseded') {
        this.emit({kind: 'target-superseded', target: target.id});
        break;
      }
      if (report && !this.isResponseLate(sentAt)) {
        this.onReport(target, report, call, sentAt);
        return;
      }
    }
    this.onUnreachable(target, call);
  }

  /**
   * Returns whether a response is too old to act on, because the process was
   * paused before it read it.
   */
  private isResponseLate(sentAt: Instant): boolean {
    return (
      this.dependencies.clock.now() > sentAt + 2 * this.options.callTimeoutMs
    );
  }

  private async renew(
    target: TargetMonitor,
    renewal: Renewal,
    timeoutMs = this.options.callTimeoutMs,
  ): Promise<TargetReport | 'superseded' | undefined> {
    const address = this.dependencies.findAddress(target.id);
    if (!address) {
      return undefined;
    }
    try {
      const {client} = this.dependencies;
      return await client.renew(address, renewal, timeoutMs);
    } catch (error) {
      return isFailure(error, 'target-refused') ? 'superseded' : undefined;
    }
  }

  private onReport(
    target: TargetMonitor,
    report: TargetReport,
    call: RenewalCall,
    sentAt: Instant,
  ): void {
    const {id, isUnreachable: wasUnreachable, isLeaving} = target;
    target.onReport(report, call, sentAt);
    // Also emitted at the first response, because an earlier scheduler may have
    // found the target unreachable.
    if (wasUnreachable !== false) {
      target.isUnreachable = false;
      this.emit({kind: 'target-answering', target: id});
    }
    if (isLeaving !== target.isLeaving) {
      const kind = target.isLeaving ? 'target-leaving' : 'target-staying';
      this.emit({kind, target: id});
    }
    if (call.renewal.withUsage) {
      target.onUsageRequested(sentAt);
      const {usage, usageAgeMs: ageMs} = report;
      if (usage.length > 0) {
        this.emit({kind: 'usage', target: id, ageMs, usage});
      }
    }
  }

  private onUnreachable(target: TargetMonitor, call: RenewalCall): void {
    call.monitors.forEach(monitor => monitor.onUnreachable(target.id));
    if (!target.isUnreachable) {
      target.isUnreachable = true;
      this.emit({kind: 'target-silent', target: target.id});
    }
  }

  private evaluateGangs(): void {
    const now = this.dependencies.clock.now();
    for (const monitor of [...this.gangs.values()]) {
      const outcome = monitor.evaluate(now, this.options.callTimeoutMs);
      if (outcome) {
        this.emit(outcome);
      }
    }
  }

  private getOrCreateMonitor(target: string): TargetMonitor {
    const monitor = this.targets.get(target) ?? new TargetMonitor(target);
    this.targets.set(target, monitor);
    return monitor;
  }

  private removeUnusedTargets(): void {
    for (const [id, target] of this.targets) {
      if (!target.hasWork && !this.polledTargets.has(id)) {
        this.targets.delete(id);
      }
    }
  }

  private emit(event: LeaseRenewerEvent): void {
    const level = event.kind === 'usage' ? 'debug' : 'info';
    this.dependencies.logger[level](`keeper-${event.kind}`, {...event});
    for (const listener of this.listeners) {
      listener(event);
    }
  }
}
