/** Tracks the reports on the members of one gang, and decides the outcome of the gang. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {type GangAttempt, toLeaseKey} from './gang_attempt.js';
import type {GangOutcome} from './lease_renewer_event.js';
import type {LeaseReport} from './target_client.js';

/** Age of a gang at its first poll between rounds. */
const FIRST_POLL_AGE_MS: Milliseconds = 50;

/** Age from which a gang is polled only by the rounds. */
const MAX_POLL_AGE_MS: Milliseconds = 2_000;

/** State of one member as last reported. */
interface Member {
  target: string;
  firstTask: number;
  /** Absent until the target has reported, and when it has no lease of the tasks. */
  report?: LeaseReport;
  /**
   * Whether its target responded to the latest renewal call; stays true once
   * the member succeeded.
   */
  isReachable: boolean;
  /** Local time before which its lease cannot have expired. */
  expiresAt: Instant;
}

/** Monitors the members of one gang, and decides its outcome once. */
export class GangMonitor {
  /** Local time of the next poll between rounds; infinite once only rounds poll the gang. */
  nextPollAt: Instant;
  private readonly members: Map<string, Member>;
  private outcome?: GangOutcome;

  constructor(
    readonly gangAttempt: GangAttempt,
    private readonly addedAt: Instant,
    leaseMs: Milliseconds,
  ) {
    this.nextPollAt = addedAt + FIRST_POLL_AGE_MS;
    this.members = new Map(
      gangAttempt.assignments.map(({target, firstTask}) => [
        target,
        {
          target,
          firstTask,
          isReachable: false,
          expiresAt: addedAt + leaseMs,
        },
      ]),
    );
  }

  // Commands

  /** Applies a target's report on this gang; undefined when the target has no lease of it. */
  onReport(target: string, report: LeaseReport | undefined): void {
    const member = this.members.get(target);
    if (!member || member.report?.state === 'succeeded') {
      return;
    }
    member.isReachable = true;
    member.report = report;
  }

  /** Handles a target that did not respond. */
  onUnreachable(target: string): void {
    const member = this.members.get(target);
    if (member) {
      member.isReachable = member.report?.state === 'succeeded';
    }
  }

  /** Handles a renewal that the target acknowledged; the lease lasts at least until `expiresAt`. */
  onRenewed(target: string, expiresAt: Instant): void {
    const member = this.members.get(target);
    if (member) {
      member.expiresAt = Math.max(member.expiresAt, expiresAt);
    }
  }

  /** Handles a poll of the members; schedules the next one for when the gang is twice as old. */
  onPolled(now: Instant): void {
    const age = now - this.addedAt;
    this.nextPollAt = age < MAX_POLL_AGE_MS ? now + age : Infinity;
  }

  /** Invalidates earlier reports, except those of succeeded members. */
  invalidateReports(): void {
    for (const member of this.members.values()) {
      member.isReachable = member.report?.state === 'succeeded';
    }
  }

  /**
   * Decides the outcome, and returns it only on the call that decides it. A
   * member that is unreachable until `marginMs` before its lease expires is lost.
   */
  evaluate(now: Instant, marginMs: Milliseconds): GangOutcome | undefined {
    if (this.outcome) {
      return undefined;
    }
    for (const member of this.listUnreachableFirst()) {
      this.evaluateMember(member, now, marginMs);
    }
    if (!this.outcome && this.isComplete()) {
      this.outcome = this.createSuccess();
    }
    return this.outcome;
  }

  // Queries

  /** Targets of the members. */
  get targets(): Iterable<string> {
    return this.members.keys();
  }

  /** Returns whether every member is reachable and is running or has succeeded. */
  isRenewable(): boolean {
    if (this.outcome) {
      return false;
    }
    return [...this.members.values()].every(
      member =>
        member.isReachable &&
        (member.report?.state === 'running' ||
          member.report?.state === 'succeeded'),
    );
  }

  /**
   * Lists unreachable members first. The leases of the other members expire
   * because of an unreachable one, which must then be named as the culprit.
   */
  private listUnreachableFirst(): Member[] {
    const members = [...this.members.values()];
    return members.sort(
      (a, b) => Number(a.isReachable) - Number(b.isReachable),
    );
  }

  private evaluateMember(
    member: Member,
    now: Instant,
    marginMs: Milliseconds,
  ): void {
    if (this.outcome) {
      return;
    }
    const {target, report} = member;
    if (!member.isReachable) {
      if (now >= member.expiresAt - marginMs) {
        this.setMemberLost(
          target,
          'it was unreachable until its lease expired',
        );
      }
    } else if (report?.state === 'failed') {
      this.outcome = {
        kind: 'failed',
        ...toLeaseKey(this.gangAttempt),
        culprit: target,
        task: report.failedTask,
        problem: report.problem ?? 'the task failed',
      };
    } else if (report?.state !== 'running' && report?.state !== 'succeeded') {
      this.setMemberLost(
        target,
        `the state of its tasks is ${report?.state ?? 'unknown'}`,
      );
    }
  }

  private setMemberLost(culprit: string, problem: string): void {
    this.outcome ??= {
      kind: 'member-lost',
      ...toLeaseKey(this.gangAttempt),
      culprit,
      problem,
    };
  }

  private isComplete(): boolean {
    return [...this.members.values()].every(
      member => member.report?.state === 'succeeded',
    );
  }

  private createSuccess(): GangOutcome {
    const members = [...this.members.values()];
    members.sort((a, b) => a.firstTask - b.firstTask);
    const progress = members.map(item => item.report?.progressSeconds ?? 0);
    return {
      kind: 'succeeded',
      ...toLeaseKey(this.gangAttempt),
      results: members.flatMap(member => member.report?.results ?? []),
      ranSeconds: Math.max(...progress) - this.gangAttempt.progressSeconds,
    };
  }
}
