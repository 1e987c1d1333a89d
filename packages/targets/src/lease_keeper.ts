/** Renews the leases of running gangs, each as a whole, and tells what became of them. */
import {NO_TERM, type Term} from '@galenavalve/model';
import {type Instant, type Milliseconds, isFailure} from '@galenavalve/shared';
import type {GangOrder} from './gang_order.js';
import {GangWatch} from './gang_watch.js';
import type {KeeperEvent} from './keeper_event.js';
import type {Renewal, TargetReport} from './target_client.js';
import {
  CALLS_PER_ROUND,
  type KeeperTimes,
  type LeaseKeeperParts,
  completeTimes,
} from './lease_keeper_options.js';
import {type Question, WatchedTarget} from './watched_target.js';

/** Share of the call timeout that a look may take. */
const LOOK_SHARE = 0.5;

/** Keeps the leases of gangs. */
export class LeaseKeeper {
  /** Length of a lease in milliseconds. */
  readonly leaseMs: Milliseconds;
  private readonly gangs = new Map<string, GangWatch>();
  private readonly targets = new Map<string, WatchedTarget>();
  private readonly listeners: ((event: KeeperEvent) => void)[] = [];
  private idle = new Set<string>();
  private term: Term = NO_TERM;
  private lastTickAt?: Instant;
  /** Aborted when a gang is followed, to end a sleep between rounds. */
  private wake = new AbortController();
  private readonly times: KeeperTimes;

  constructor(private readonly parts: LeaseKeeperParts) {
    this.times = completeTimes(parts.options);
    this.leaseMs = this.times.leaseMs;
  }

  // Commands

  setTerm(term: Term): void {
    this.term = term;
  }

  /** Keeps a gang that was started, or that an earlier keeper has kept. */
  follow(order: GangOrder): void {
    this.unfollow(order.jobId);
    const watch = new GangWatch(order, this.parts.clock.now(), this.leaseMs);
    this.gangs.set(order.jobId, watch);
    for (const target of watch.targets) {
      this.watch(target).gangs.set(order.jobId, watch);
    }
    this.wake.abort();
  }

  /** Renews the leases of a job no longer. */
  unfollow(jobId: string): void {
    const watch = this.gangs.get(jobId);
    this.gangs.delete(jobId);
    for (const target of watch?.targets ?? []) {
      this.targets.get(target)?.gangs.delete(jobId);
    }
  }

  /** Also asks these targets for their reports, slowly while they have no work. */
  followTargets(targets: readonly string[]): void {
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
  forget(jobId: string, attempt: number): void {
    const order = this.gangs.get(jobId)?.order;
    if (order?.attempt !== attempt) {
      return;
    }
    for (const {target} of order.assignments) {
      this.watch(target).forget(order);
    }
  }

  onEvent(listener: (event: KeeperEvent) => void): void {
    this.listeners.push(listener);
  }

  /** Runs rounds until the abort; asks silent members again in between. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const nextAt = clock.now() + this.times.renewMs;
      await this.tick();
      while (!signal.aborted && this.canProbeBefore(nextAt)) {
        await clock.sleep(this.times.callTimeoutMs / 2, signal);
        await this.probe();
      }
      await this.lookUntil(nextAt, signal);
    }
  }

  /** One round: renews each gang that is well, reads all members, judges. */
  async tick(): Promise<void> {
    const now = this.parts.clock.now();
    this.doubtAfterPause(now);
    this.dropUnused();
    const renewable = this.findRenewable();
    await this.askAll(this.findDue(now), renewable, CALLS_PER_ROUND);
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
    const looks = [...this.gangs.values()].map(watch => watch.nextLookAt);
    return Math.min(Infinity, ...looks);
  }

  /**
   * Asks the targets of the gangs whose next look is due, and judges. A look
   * renews nothing, and its silence says nothing: the rounds do that, and a
   * look must not hold them up.
   */
  private async look(): Promise<void> {
    const now = this.parts.clock.now();
    const targets = new Set<WatchedTarget>();
    for (const watch of this.gangs.values()) {
      if (watch.nextLookAt <= now) {
        watch.onLooked(now);
        [...watch.targets].forEach(target => targets.add(this.watch(target)));
      }
    }
    const answering = [...targets].filter(target => !target.isSilent);
    await Promise.all(answering.map(target => this.lookAt(target)));
    this.judge();
  }

  private async lookAt(target: WatchedTarget): Promise<void> {
    const terms = {term: this.term, leaseMs: this.leaseMs};
    const question = target.createQuestion(terms, new Set(), false);
    const sentAt = this.parts.clock.now();
    const timeout = this.times.callTimeoutMs * LOOK_SHARE;
    const report = await this.renew(target, question.order, timeout);
    if (report && report !== 'superseded' && !this.isLate(sentAt)) {
      this.onReport(target, report, question, sentAt);
    }
  }

  /** Asks the silent members of gangs once more, and renews the gangs that are well again. */
  async probe(): Promise<void> {
    const renewable = this.findRenewable();
    await this.askAll(this.findSuspects(), new Set(), 1);
    await this.renewRecovered(renewable);
  }

  // Queries

  /** Tells whether the job is kept. */
  isFollowing(jobId: string): boolean {
    return this.gangs.has(jobId);
  }

  /** Jobs that are kept. */
  followed(): string[] {
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
      watch.doubt();
    }
  }

  private findSuspects(): WatchedTarget[] {
    return [...this.targets.values()].filter(
      target => target.isSilent === true && target.gangs.size > 0,
    );
  }

  private canProbeBefore(nextAt: Instant): boolean {
    const probeMs = 1.5 * this.times.callTimeoutMs;
    return (
      this.findSuspects().length > 0 &&
      this.parts.clock.now() + probeMs <= nextAt
    );
  }

  private findRenewable(): Set<GangWatch> {
    const watches = [...this.gangs.values()];
    return new Set(watches.filter(watch => watch.isRenewable()));
  }

  /** Renews gangs whose members all answered well, but not yet when the round began. */
  private async renewRecovered(renewed: ReadonlySet<GangWatch>): Promise<void> {
    const targets = new Set<WatchedTarget>();
    for (const watch of this.findRenewable()) {
      if (!renewed.has(watch)) {
        [...watch.targets].forEach(target => targets.add(this.watch(target)));
      }
    }
    await this.askAll([...targets], this.findRenewable(), CALLS_PER_ROUND);
  }

  private findDue(now: Instant): WatchedTarget[] {
    return [...this.targets.values()].filter(
      target => target.isUsed || now - target.triedAt >= this.times.idlePollMs,
    );
  }

  private async askAll(
    targets: readonly WatchedTarget[],
    renewable: ReadonlySet<GangWatch>,
    calls: number,
  ): Promise<void> {
    const now = this.parts.clock.now();
    const terms = {term: this.term, leaseMs: this.leaseMs};
    const questions = targets.map(target => {
      target.triedAt = now;
      const withUsage = target.isUsageDue(now, this.times.usageMs);
      const question = target.createQuestion(terms, renewable, withUsage);
      return this.ask(target, question, calls);
    });
    await Promise.all(questions);
  }

  private async ask(
    target: WatchedTarget,
    question: Question,
    calls: number,
  ): Promise<void> {
    for (let call = 0; call < calls; call++) {
      const sentAt = this.parts.clock.now();
      const report = await this.renew(target, question.order);
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
    target: WatchedTarget,
    order: Renewal,
    timeout = this.times.callTimeoutMs,
  ): Promise<TargetReport | 'superseded' | undefined> {
    const address = this.parts.addressOf(target.id);
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
    target: WatchedTarget,
    report: TargetReport,
    question: Question,
    sentAt: Instant,
  ): void {
    const {id, isSilent, isLeaving} = target;
    target.onReport(report, question, sentAt);
    // Also at the first answer: an earlier keeper may have found it otherwise.
    if (isSilent !== false) {
      target.isSilent = false;
      this.emit({kind: 'target-answering', target: id});
    }
    if (isLeaving !== target.isLeaving) {
      const kind = target.isLeaving ? 'target-leaving' : 'target-staying';
      this.emit({kind, target: id});
    }
    if (question.order.withUsage) {
      target.onUsageAsked(sentAt);
      const {usage, usageAgeMs: ageMs} = report;
      if (usage.length > 0) {
        this.emit({kind: 'usage', target: id, ageMs, usage});
      }
    }
  }

  private onSilence(target: WatchedTarget, question: Question): void {
    question.watches.forEach(watch => watch.onSilence(target.id));
    if (!target.isSilent) {
      target.isSilent = true;
      this.emit({kind: 'target-silent', target: target.id});
    }
  }

  private judge(): void {
    const now = this.parts.clock.now();
    for (const watch of [...this.gangs.values()]) {
      const verdict = watch.judge(now, this.times.callTimeoutMs);
      if (verdict) {
        this.emit(verdict);
      }
    }
  }

  private watch(target: string): WatchedTarget {
    const watched = this.targets.get(target) ?? new WatchedTarget(target);
    this.targets.set(target, watched);
    return watched;
  }

  private dropUnused(): void {
    for (const [id, target] of this.targets) {
      if (!target.isUsed && !this.idle.has(id)) {
        this.targets.delete(id);
      }
    }
  }

  private emit(event: KeeperEvent): void {
    const level = event.kind === 'usage' ? 'debug' : 'info';
    this.parts.logger[level](`keeper-${event.kind}`, {...event});
    for (const listener of this.listeners) {
      listener(event);
    }
  }
}
