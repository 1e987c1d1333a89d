/** Tracks the reports of one target, and creates the renewals that are sent to it. */
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

/** Parameters that are the same for all targets of a round. */
export interface RenewalParameters {
  term: Term;
  leaseMs: Milliseconds;
}

/** A renewal that is about to be sent, with the gangs that its response concerns. */
export interface RenewalCall {
  renewal: Renewal;
  /** Gangs on the target when the renewal was created; the response says nothing about others. */
  monitors: GangMonitor[];
  /** The gangs of `monitors` that it renews. */
  renewedMonitors: GangMonitor[];
  /** Local time that is not later than `renewal.basedOn`. */
  basisRequestedAt: Instant;
}

/** Monitors one target of a lease renewer. */
export class TargetMonitor {
  /** Gangs with a member on the target, by job. */
  readonly gangs = new Map<string, GangMonitor>();
  /** Absent until the first call has ended. */
  isUnreachable?: boolean;
  /** Absent until the first report. */
  isLeaving?: boolean;
  /** Local time of the latest renewal call, not counting polls between rounds. */
  lastPolledAt: Instant = -Infinity;
  /** Ended leases that the target may remove but has not confirmed yet. */
  private readonly acknowledgedLeases = new Map<string, LeaseKey>();
  /** Reported leases of the target, without reservations. */
  private knownLeases = new Map<string, LeaseReport>();
  private digest = computeLeaseDigest([]);
  /**
   * The target's own clock in its latest report, and the local time when that
   * report was requested.
   */
  private lastReport?: {clock: number; requestedAt: Instant};
  private usageRequestedAt: Instant = -Infinity;

  constructor(readonly id: string) {}

  // Commands

  /** Allows the target to remove an ended lease, from the next renewal on. */
  acknowledgeLease(key: LeaseKey): void {
    this.acknowledgedLeases.set(formatLeaseKey(key), toLeaseKey(key));
  }

  /** Creates the next renewal, which renews the target's gangs that are in `renewable`. */
  createRenewalCall(
    {term, leaseMs}: RenewalParameters,
    renewable: ReadonlySet<GangMonitor>,
    withUsage: boolean,
  ): RenewalCall {
    const monitors = [...this.gangs.values()];
    const renewedMonitors = monitors.filter(monitor => renewable.has(monitor));
    const renewsAll = this.coversAllRunning(renewedMonitors);
    const renewal: Renewal = {
      term,
      leaseMs,
      basedOn: this.lastReport?.clock,
      leases: renewsAll
        ? []
        : renewedMonitors.map(monitor => toLeaseKey(monitor.gangAttempt)),
      digest: this.digest,
      ...(renewsAll && {renewsAll}),
      ...(withUsage && {withUsage}),
      forget: [...this.acknowledgedLeases.values()],
    };
    const basisRequestedAt = this.lastReport?.requestedAt ?? -Infinity;
    return {
      renewal,
      monitors,
      renewedMonitors,
      basisRequestedAt,
    };
  }

  /** Applies the report of a response that arrived in time. */
  onReport(report: TargetReport, call: RenewalCall, sentAt: Instant): void {
    this.lastReport = {clock: report.clock, requestedAt: sentAt};
    this.isLeaving = report.leaving;
    this.removeAcknowledgedLeases(call.renewal.forget);
    this.updateKnownLeases(report);
    for (const monitor of call.monitors) {
      const key = formatLeaseKey(monitor.gangAttempt);
      monitor.onReport(this.id, this.knownLeases.get(key));
    }
    const isRenewed = !call.renewal.renewsAll || report.changesOnly;
    if (isRenewed) {
      const expiresAt = call.basisRequestedAt + call.renewal.leaseMs;
      call.renewedMonitors.forEach(monitor =>
        monitor.onRenewed(this.id, expiresAt),
      );
    }
  }

  onUsageRequested(now: Instant): void {
    this.usageRequestedAt = now;
  }

  // Queries

  /** Whether the target has gangs or leases that it may remove. */
  get hasWork(): boolean {
    return this.gangs.size > 0 || this.acknowledgedLeases.size > 0;
  }

  isUsageDue(now: Instant, usagePollMs: Milliseconds): boolean {
    return now - this.usageRequestedAt >= usagePollMs;
  }

  /** Returns whether renewing all running leases of the target renews only these gangs. */
  private coversAllRunning(renewedMonitors: readonly GangMonitor[]): boolean {
    const keys = new Set(
      renewedMonitors.map(monitor => formatLeaseKey(monitor.gangAttempt)),
    );
    return [...this.knownLeases].every(
      ([key, {state}]) => state !== 'running' || keys.has(key),
    );
  }

  private removeAcknowledgedLeases(keys: readonly LeaseKey[]): void {
    for (const key of keys) {
      this.acknowledgedLeases.delete(formatLeaseKey(key));
      if (this.knownLeases.get(formatLeaseKey(key))?.state !== 'running') {
        this.knownLeases.delete(formatLeaseKey(key));
      }
    }
  }

  private updateKnownLeases(report: TargetReport): void {
    if (!report.changesOnly) {
      this.knownLeases = new Map();
    }
    for (const lease of report.leases) {
      if (lease.state !== 'reserved') {
        this.knownLeases.set(formatLeaseKey(lease), lease);
      }
    }
    this.digest = computeLeaseDigest([...this.knownLeases.keys()]);
  }
}
