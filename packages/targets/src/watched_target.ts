/** One target as a lease keeper last heard of it, and what to tell it next. */
import type {Term} from '@galenavalve/model';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {leaseKeyOf, leaseKeyText} from './gang_order.js';
import type {GangWatch} from './gang_watch.js';
import {digestLeases} from './lease_digest.js';
import type {
  LeaseKey,
  LeaseReport,
  Renewal,
  TargetReport,
} from './target_client.js';

/** Values that are the same for all targets of a round. */
export interface RenewalTerms {
  term: Term;
  leaseMs: Milliseconds;
}

/** A renewal about to be sent, with what its answer will be about. */
export interface Question {
  order: Renewal;
  /** Gangs that were followed when it was made; the answer says nothing of others. */
  watches: GangWatch[];
  /** Those of them that it renews. */
  renewed: GangWatch[];
  /** Local time before which `order.basedOn` was not stamped. */
  basedAt: Instant;
}

/** One target of a keeper. */
export class WatchedTarget {
  /** Gangs with a member on the target, by job. */
  readonly gangs = new Map<string, GangWatch>();
  /** Absent until it has answered, or failed to. */
  isSilent?: boolean;
  /** Absent until it has said. */
  isLeaving?: boolean;
  /** Local time of the latest try to ask it. */
  triedAt: Instant = -Infinity;
  private readonly forgettable = new Map<string, LeaseKey>();
  /** Its leases beyond reservations, as far as reported. */
  private known = new Map<string, LeaseReport>();
  private digest = digestLeases([]);
  /** The target's own clock at its latest report, and the local time when that was asked for. */
  private heard?: {clock: number; askedAt: Instant};
  private usageAskedAt: Instant = -Infinity;

  constructor(readonly id: string) {}

  // Commands

  forget(key: LeaseKey): void {
    this.forgettable.set(leaseKeyText(key), leaseKeyOf(key));
  }

  /** Makes the next renewal, for those gangs that are in `renewable`. */
  createQuestion(
    {term, leaseMs}: RenewalTerms,
    renewable: ReadonlySet<GangWatch>,
    withUsage: boolean,
  ): Question {
    const watches = [...this.gangs.values()];
    const renewed = watches.filter(watch => renewable.has(watch));
    const renewsAll = this.coversAllRunning(renewed);
    const order: Renewal = {
      term,
      leaseMs,
      basedOn: this.heard?.clock,
      leases: renewsAll ? [] : renewed.map(watch => leaseKeyOf(watch.order)),
      digest: this.digest,
      ...(renewsAll && {renewsAll}),
      ...(withUsage && {withUsage}),
      forget: [...this.forgettable.values()],
    };
    const basedAt = this.heard?.askedAt ?? -Infinity;
    return {order, watches, renewed, basedAt};
  }

  /** Takes in an answer that came in time. */
  onReport(report: TargetReport, question: Question, sentAt: Instant): void {
    this.heard = {clock: report.clock, askedAt: sentAt};
    this.isLeaving = report.leaving;
    this.noteForgotten(question.order.forget);
    this.noteLeases(report);
    for (const watch of question.watches) {
      const key = leaseKeyText(watch.order);
      watch.onReport(this.id, this.known.get(key));
    }
    const isRenewed = !question.order.renewsAll || report.changesOnly;
    if (isRenewed) {
      const expiresAt = question.basedAt + question.order.leaseMs;
      question.renewed.forEach(watch => watch.onRenewed(this.id, expiresAt));
    }
  }

  onUsageAsked(now: Instant): void {
    this.usageAskedAt = now;
  }

  // Queries

  get isUsed(): boolean {
    return this.gangs.size > 0 || this.forgettable.size > 0;
  }

  isUsageDue(now: Instant, usageMs: Milliseconds): boolean {
    return now - this.usageAskedAt >= usageMs;
  }

  /** Whether a renewal of all that runs there renews nothing else than these. */
  private coversAllRunning(renewed: readonly GangWatch[]): boolean {
    const keys = new Set(renewed.map(watch => leaseKeyText(watch.order)));
    return [...this.known].every(
      ([key, {state}]) => state !== 'running' || keys.has(key),
    );
  }

  private noteForgotten(keys: readonly LeaseKey[]): void {
    for (const key of keys) {
      this.forgettable.delete(leaseKeyText(key));
      if (this.known.get(leaseKeyText(key))?.state !== 'running') {
        this.known.delete(leaseKeyText(key));
      }
    }
  }

  private noteLeases(report: TargetReport): void {
    if (!report.changesOnly) {
      this.known = new Map();
    }
    for (const lease of report.leases) {
      if (lease.state !== 'reserved') {
        this.known.set(leaseKeyText(lease), lease);
      }
    }
    this.digest = digestLeases([...this.known.keys()]);
  }
}
