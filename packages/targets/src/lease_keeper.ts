/** Renews the leases of running gangs, each as a whole, and tells what became of them. */
import type {Term} from '@galenavalve/model';
import {NO_TERM} from '@galenavalve/model';
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  isFailure,
} from '@galenavalve/shared';
import {
  type AddressLookup,
  type GangMembers,
  type GangOrder,
  leaseKeyOf,
  leaseKeyText,
} from './gang_order.js';
import {GangWatch} from './gang_watch.js';
import type {KeeperEvent, TargetEvent} from './keeper_event.js';
import type {LeaseKey, TargetClient, TargetReport} from './target_client.js';

/** Times of the lease keeper, in milliseconds. */
export interface LeaseKeeperOptions {
  leaseMs?: Milliseconds;
  /** Time between two rounds; at least two call timeouts. */
  renewMs?: Milliseconds;
  callTimeoutMs: Milliseconds;
  /** Time between two questions to a target without work. */
  idlePollMs?: Milliseconds;
}

/** What the keeper works with. */
export interface LeaseKeeperParts {
  client: TargetClient;
  addressOf: AddressLookup;
  clock: Clock;
  logger: Logger;
  options: LeaseKeeperOptions;
}

const DEFAULT_LEASE_MS = 6000;
const DEFAULT_RENEW_MS = 2000;
const DEFAULT_IDLE_POLL_MS = 10_000;

/** Times that a target is asked in one round. */
const CALLS_PER_ROUND = 2;

/** One target as last heard of. */
interface WatchedTarget {
  id: string;
  /** Jobs of the gangs that it is a member of. */
  jobs: Set<string>;
  forget: Map<string, LeaseKey>;
  /** The target's own clock at its latest report. */
  clock?: number;
  /** Local time when the question for that report was sent. */
  askedAt: Instant;
  isSilent: boolean;
  isLeaving: boolean;
}

/** Keeps the leases of gangs. */
export class LeaseKeeper {
  private readonly gangs = new Map<string, GangWatch>();
  private readonly targets = new Map<string, WatchedTarget>();
  private readonly listeners: ((event: KeeperEvent) => void)[] = [];
  private idle = new Set<string>();
  private term: Term = NO_TERM;
  private lastTickAt?: Instant;
  /** Length of a lease in milliseconds. */
  readonly leaseMs: Milliseconds;
  private readonly renewMs: Milliseconds;
  private readonly idlePollMs: Milliseconds;
  private readonly callTimeoutMs: Milliseconds;

  constructor(private readonly parts: LeaseKeeperParts) {
    const {options} = parts;
    this.leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.renewMs = options.renewMs ?? DEFAULT_RENEW_MS;
    this.idlePollMs = options.idlePollMs ?? DEFAULT_IDLE_POLL_MS;
    this.callTimeoutMs = options.callTimeoutMs;
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
      this.watch(target).jobs.add(order.jobId);
    }
  }

  /** Renews the leases of a job no longer. */
  unfollow(jobId: string): void {
    const watch = this.gangs.get(jobId);
    this.gangs.delete(jobId);
    for (const target of watch?.targets ?? []) {
      this.targets.get(target)?.jobs.delete(jobId);
    }
  }

  /** Also asks these targets for their reports, slowly while they have no work. */
  followTargets(targets: readonly string[]): void {
    this.idle = new Set(targets);
    for (const target of targets) {
      this.watch(target);
    }
  }

  /** Keeps nothing any more, because the term is lost. Targets may be kept by another. */
  clear(): void {
    this.gangs.clear();
    this.targets.clear();
    this.idle = new Set();
    this.lastTickAt = undefined;
  }

  /** Lets the targets of an attempt forget it, now that its end is recorded. */
  forget(gang: GangMembers): void {
    for (const {target} of gang.assignments) {
      this.watch(target).forget.set(leaseKeyText(gang), leaseKeyOf(gang));
    }
  }

  onEvent(listener: (event: KeeperEvent) => void): void {
    this.listeners.push(listener);
  }

  /** Runs rounds until the abort; asks silent members again in between. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted) {
      const nextAt = clock.now() + this.renewMs;
      await this.tick();
      while (!signal.aborted && this.canProbeBefore(nextAt)) {
        await clock.sleep(this.callTimeoutMs / 2, signal);
        await this.probe();
      }
      await clock.sleep(Math.max(0, nextAt - clock.now()), signal);
    }
  }

  /** One round: renews each gang that is well, reads all members, judges. */
  async tick(): Promise<void> {
    const now = this.parts.clock.now();
    this.doubtAfterPause(now);
    this.dropUnused();
    const renewed = this.findRenewable();
    await this.ask(this.findDue(now), renewed);
    const isOnTime = this.parts.clock.now() <= now + this.renewMs;
    if (isOnTime) {
      await this.renewRecovered(renewed);
    }
    this.judge();
  }

  /** Asks the silent members of gangs once more, and renews the gangs that are well again. */
  async probe(): Promise<void> {
    const renewable = this.findRenewable();
    await this.ask(this.findSuspects(), new Set(), 1);
    await this.renewRecovered(renewable);
  }

  // Queries

  /** Whether the job is kept. */
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
    if (gap <= this.renewMs + this.callTimeoutMs) {
      return;
    }
    this.parts.logger.warn('lease-keeper-paused', {gapMs: gap});
    for (const watch of this.gangs.values()) {
      watch.doubt();
    }
  }

  private findSuspects(): WatchedTarget[] {
    return [...this.targets.values()].filter(
      target => target.isSilent && target.jobs.size > 0,
    );
  }

  private canProbeBefore(nextAt: Instant): boolean {
    const probeMs = 1.5 * this.callTimeoutMs;
    return (
      this.findSuspects().length > 0 &&
      this.parts.clock.now() + probeMs <= nextAt
    );
  }

  private findRenewable(): Set<string> {
    const jobs = [...this.gangs]
      .filter(([, watch]) => watch.isRenewable())
      .map(([jobId]) => jobId);
    return new Set(jobs);
  }

  /** Gangs whose members all answered well only in this round. */
  private async renewRecovered(renewed: ReadonlySet<string>): Promise<void> {
    const recovered = this.findRenewable();
    for (const jobId of renewed) {
      recovered.delete(jobId);
    }
    const targets = new Set<WatchedTarget>();
    for (const jobId of recovered) {
      for (const target of this.gangs.get(jobId)?.targets ?? []) {
        targets.add(this.watch(target));
      }
    }
    await this.ask([...targets], recovered);
  }

  private findDue(now: Instant): WatchedTarget[] {
    return [...this.targets.values()].filter(
      target =>
        target.jobs.size > 0 ||
        target.forget.size > 0 ||
        target.isSilent ||
        now - target.askedAt >= this.idlePollMs,
    );
  }

  private async ask(
    targets: readonly WatchedTarget[],
    renewable: ReadonlySet<string>,
    calls = CALLS_PER_ROUND,
  ): Promise<void> {
    await Promise.all(
      targets.map(target => this.askTarget(target, renewable, calls)),
    );
  }

  private async askTarget(
    target: WatchedTarget,
    renewable: ReadonlySet<string>,
    calls: number,
  ): Promise<void> {
    const jobs = [...target.jobs].filter(jobId => renewable.has(jobId));
    const base = {clock: target.clock, askedAt: target.askedAt};
    const forget = [...target.forget.values()];
    for (let call = 0; call < calls; call++) {
      const sentAt = this.parts.clock.now();
      const report = await this.renew(target, jobs, base.clock, forget);
      const isLate = this.parts.clock.now() > sentAt + 2 * this.callTimeoutMs;
      if (report === 'superseded') {
        this.emit({kind: 'target-superseded', target: target.id});
        break;
      }
      if (report && !isLate) {
        this.acknowledge(target, jobs, base.askedAt, forget);
        this.onReport(target, report, sentAt);
        return;
      }
    }
    this.onSilence(target);
  }

  private async renew(
    target: WatchedTarget,
    jobs: readonly string[],
    basedOn: number | undefined,
    forget: LeaseKey[],
  ): Promise<TargetReport | 'superseded' | undefined> {
    const address = this.parts.addressOf(target.id);
    if (!address) {
      return undefined;
    }
    const leases = jobs.flatMap(jobId => {
      const watch = this.gangs.get(jobId);
      return watch ? [leaseKeyOf(watch.order)] : [];
    });
    const {term, leaseMs} = this;
    try {
      return await this.parts.client.renew(
        address,
        {term, basedOn, leaseMs, leases, forget},
        this.callTimeoutMs,
      );
    } catch (error) {
      return isFailure(error, 'target-refused') ? 'superseded' : undefined;
    }
  }

  private acknowledge(
    target: WatchedTarget,
    jobs: readonly string[],
    basedAt: Instant,
    forget: readonly LeaseKey[],
  ): void {
    for (const jobId of jobs) {
      this.gangs.get(jobId)?.onRenewed(target.id, basedAt + this.leaseMs);
    }
    for (const key of forget) {
      target.forget.delete(leaseKeyText(key));
    }
  }

  private onReport(
    target: WatchedTarget,
    report: TargetReport,
    sentAt: Instant,
  ): void {
    target.clock = report.clock;
    target.askedAt = sentAt;
    const leases = new Map(
      report.leases.map(lease => [leaseKeyText(lease), lease]),
    );
    for (const jobId of target.jobs) {
      const watch = this.gangs.get(jobId);
      const key = watch && leaseKeyText(watch.order);
      watch?.onReport(target.id, key ? leases.get(key) : undefined);
    }
    if (target.isSilent) {
      target.isSilent = false;
      this.emit({kind: 'target-answering', target: target.id});
    }
    this.noteLeaving(target, report.leaving);
    if (report.usage.length > 0) {
      const {usage, usageAgeMs: ageMs} = report;
      this.emit({kind: 'usage', target: target.id, ageMs, usage});
    }
  }

  private noteLeaving(target: WatchedTarget, isLeaving: boolean): void {
    if (target.isLeaving === isLeaving) {
      return;
    }
    target.isLeaving = isLeaving;
    const kind: TargetEvent['kind'] = isLeaving
      ? 'target-leaving'
      : 'target-staying';
    this.emit({kind, target: target.id});
  }

  private onSilence(target: WatchedTarget): void {
    for (const jobId of target.jobs) {
      this.gangs.get(jobId)?.onSilence(target.id);
    }
    if (!target.isSilent) {
      target.isSilent = true;
      this.emit({kind: 'target-silent', target: target.id});
    }
  }

  private judge(): void {
    const now = this.parts.clock.now();
    for (const watch of [...this.gangs.values()]) {
      const verdict = watch.judge(now, this.callTimeoutMs);
      if (verdict) {
        this.emit(verdict);
      }
    }
  }

  private watch(target: string): WatchedTarget {
    let watched = this.targets.get(target);
    if (!watched) {
      watched = {
        id: target,
        jobs: new Set(),
        forget: new Map(),
        askedAt: -Infinity,
        isSilent: false,
        isLeaving: false,
      };
      this.targets.set(target, watched);
    }
    return watched;
  }

  private dropUnused(): void {
    for (const [id, target] of this.targets) {
      const isUsed = target.jobs.size > 0 || target.forget.size > 0;
      if (!isUsed && !this.idle.has(id)) {
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
