/** Judges one gang by what its members' targets report. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {type GangAttempt, toLeaseKey} from './gang_attempt.js';
import type {GangOutcome} from './lease_renewer_event.js';
import type {LeaseReport} from './target_client.js';

/** Age at which a gang's members are asked first, before the next round. */
const FIRST_LOOK_MS: Milliseconds = 50;

/** Age from which the rounds alone ask a gang's members. */
const LAST_LOOK_MS: Milliseconds = 2_000;

/** One member as last heard of. */
interface Member {
  target: string;
  firstTask: number;
  /** Absent until the target has reported, and when it knows nothing of the tasks. */
  report?: LeaseReport;
  /** Whether its target answered in the latest round. */
  isAnswering: boolean;
  /** Local time before which its lease cannot have lapsed. */
  expiresAt: Instant;
}

/** The members of one gang, and the verdict on it. */
export class GangMonitor {
  /** When its members are asked next in between rounds; infinite once the rounds suffice. */
  nextPollAt: Instant;
  private readonly members: Map<string, Member>;
  private verdict?: GangOutcome;

  constructor(
    readonly gangAttempt: GangAttempt,
    private readonly followedAt: Instant,
    leaseMs: Milliseconds,
  ) {
    this.nextPollAt = followedAt + FIRST_LOOK_MS;
    this.members = new Map(
      gangAttempt.assignments.map(({target, firstTask}) => [
        target,
        {
          target,
          firstTask,
          isAnswering: false,
          expiresAt: followedAt + leaseMs,
        },
      ]),
    );
  }

  // Commands

  /** Takes in what a target said of this gang; undefined when it said nothing of it. */
  onReport(target: string, report: LeaseReport | undefined): void {
    const member = this.members.get(target);
    if (!member || member.report?.state === 'succeeded') {
      return;
    }
    member.isAnswering = true;
    member.report = report;
  }

  /** The target did not answer. */
  onUnreachable(target: string): void {
    const member = this.members.get(target);
    if (member) {
      member.isAnswering = member.report?.state === 'succeeded';
    }
  }

  /** The target acknowledged a renewal that lasts at least until then. */
  onRenewed(target: string, expiresAt: Instant): void {
    const member = this.members.get(target);
    if (member) {
      member.expiresAt = Math.max(member.expiresAt, expiresAt);
    }
  }

  /** Its members were asked; the next look comes when the gang is twice as old. */
  onPolled(now: Instant): void {
    const age = now - this.followedAt;
    this.nextPollAt = age < LAST_LOOK_MS ? now + age : Infinity;
  }

  /** Nothing that was heard before counts any more. */
  invalidateReports(): void {
    for (const member of this.members.values()) {
      member.isAnswering = member.report?.state === 'succeeded';
    }
  }

  /** Decides; returns the verdict only when it is new. A member that is silent until `marginMs` before its lease ends is lost. */
  evaluate(now: Instant, marginMs: Milliseconds): GangOutcome | undefined {
    if (this.verdict) {
      return undefined;
    }
    for (const member of this.listSilentFirst()) {
      this.judgeMember(member, now, marginMs);
    }
    if (!this.verdict && this.isComplete()) {
      this.verdict = this.succeed();
    }
    return this.verdict;
  }

  // Queries

  get targets(): Iterable<string> {
    return this.members.keys();
  }

  /** Whether every member was well in the latest round. */
  isRenewable(): boolean {
    if (this.verdict) {
      return false;
    }
    return [...this.members.values()].every(
      member =>
        member.isAnswering &&
        (member.report?.state === 'running' ||
          member.report?.state === 'succeeded'),
    );
  }

  /** The others' leases lapse because of a silent member, which is then the culprit. */
  private listSilentFirst(): Member[] {
    const members = [...this.members.values()];
    return members.sort(
      (a, b) => Number(a.isAnswering) - Number(b.isAnswering),
    );
  }

  private judgeMember(
    member: Member,
    now: Instant,
    marginMs: Milliseconds,
  ): void {
    if (this.verdict) {
      return;
    }
    const {target, report} = member;
    if (!member.isAnswering) {
      if (now >= member.expiresAt - marginMs) {
        this.conclude(target, 'it was silent until its lease ended');
      }
    } else if (report?.state === 'failed') {
      this.verdict = {
        kind: 'failed',
        ...toLeaseKey(this.gangAttempt),
        culprit: target,
        task: report.failedTask,
        problem: report.problem ?? 'the task failed',
      };
    } else if (report?.state !== 'running' && report?.state !== 'succeeded') {
      this.conclude(
        target,
        `its tasks are ${report?.state ?? 'unknown to it'}`,
      );
    }
  }

  private conclude(culprit: string, problem: string): void {
    this.verdict ??= {
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

  private succeed(): GangOutcome {
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
