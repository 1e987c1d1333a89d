/** One target as a lease keeper last heard of it, and what to tell it next. */
import type {Term} from '@galenavalve/model';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {toLeaseKey, formatLeaseKey} from './gang_attempt.js';
import type {GangMonitor} from './gang_monitor.js';
import {computeLeaseDigest} from './lease_digest.js';
import type {
  LeaseKey,
  LeaseReport,
  Renewal,
  TargetReport,
} from './target_client.js';

/** Values that are the same for all targets of a round. */
export interface RenewalParameters {
  term: Term;
  leaseMs: Milliseconds;
}

/** A renewal about to be sent, with what its answer will be about. */
export interface RenewalCall {
  renewal: Renewal;
  /** Gangs that were followed when it was made; the answer says nothing of others. */
  monitors: GangMonitor[];
  /** Those of them that it renews. */
  renewedMonitors: GangMonitor[];
  /** Local time before which `order.basedOn` was not stamped. */
  basisAskedAt: Instant;
}

/** One target of a keeper. */
export class TargetMonitor {
  /** Gangs with a member on the target, by job. */
  readonly gangs = new Map<string, GangMonitor>();
  /** Absent until it has answered, or failed to. */
  isUnreachable?: boolean;
  /** Absent until it has said. */
  isLeaving?: boolean;
  /** Local time of the latest try to ask it. */
  lastPolledAt: Instant = -Infinity;
  private readonly forgettable = new Map<string, LeaseKey>();
  /** Its leases beyond reservations, as far as reported. */
  private known = new Map<string, LeaseReport>();
  private digest = computeLeaseDigest([]);
  /** The target's own clock at its latest report, and the local time when that was asked for. */
  private heard?: {clock: number; askedAt: Instant};
  private usageAskedAt: Instant = -Infinity;

  constructor(readonly id: string) {}

  // Commands

  acknowledgeLease(key: LeaseKey): void {
    this.forgettable.set(formatLeaseKey(key), toLeaseKey(key));
  }

  /** Makes the next renewal, for those gangs that are in `renewable`. */
  createRenewalCall(
    {term, leaseMs}: RenewalParameters,
    renewable: ReadonlySet<GangMonitor>,
    withUsage: boolean,
  ): RenewalCall {
    const watches = [...this.gangs.values()];
    const renewed = watches.filter(watch => renewable.has(watch));
    const renewsAll = this.coversAllRunning(renewed);
    const order: Renewal = {
      term,
      leaseMs,
      basedOn: this.heard?.clock,
      leases: renewsAll
        ? []
        : renewed.map(watch => toLeaseKey(watch.gangAttempt)),
      digest: this.digest,
      ...(renewsAll && {renewsAll}),
      ...(withUsage && {withUsage}),
      forget: [...this.forgettable.values()],
    };
    const basedAt = this.heard?.askedAt ?? -Infinity;
    return {
      renewal: order,
      monitors: watches,
      renewedMonitors: renewed,
      basisAskedAt: basedAt,
    };
  }

  /** Takes in an answer that came in time. */
  onReport(report: TargetReport, question: RenewalCall, sentAt: Instant): void {
    this.heard = {clock: report.clock, askedAt: sentAt};
    this.isLeaving = report.leaving;
    this.noteForgotten(question.renewal.forget);
    this.noteLeases(report);
    for (const watch of question.monitors) {
      const key = formatLeaseKey(watch.gangAttempt);
      watch.onReport(this.id, this.known.get(key));
    }
    const isRenewed = !question.renewal.renewsAll || report.changesOnly;
    if (isRenewed) {
      const expiresAt = question.basisAskedAt + question.renewal.leaseMs;
      question.renewedMonitors.forEach(watch =>
        watch.onRenewed(this.id, expiresAt),
      );
    }
  }

  onUsageRequested(now: Instant): void {
    this.usageAskedAt = now;
  }

  // Queries

  get hasWork(): boolean {
    return this.gangs.size > 0 || this.forgettable.size > 0;
  }

  isUsageDue(now: Instant, usageMs: Milliseconds): boolean {
    return now - this.usageAskedAt >= usageMs;
  }

  /** Whether a renewal of all that runs there renews nothing else than these. */
  private coversAllRunning(renewed: readonly GangMonitor[]): boolean {
    const keys = new Set(
      renewed.map(watch => formatLeaseKey(watch.gangAttempt)),
    );
    return [...this.known].every(
      ([key, {state}]) => state !== 'running' || keys.has(key),
    );
  }

  private noteForgotten(keys: readonly LeaseKey[]): void {
    for (const key of keys) {
      this.forgettable.delete(formatLeaseKey(key));
      if (this.known.get(formatLeaseKey(key))?.state !== 'running') {
        this.known.delete(formatLeaseKey(key));
      }
    }
  }

  private noteLeases(report: TargetReport): void {
    if (!report.changesOnly) {
      this.known = new Map();
    }
    for (const lease of report.leases) {
      if (lease.state !== 'reserved') {
        this.known.set(formatLeaseKey(lease), lease);
      }
    }
    this.digest = computeLeaseDigest([...this.known.keys()]);
  }
}
