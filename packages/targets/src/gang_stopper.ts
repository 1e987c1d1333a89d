/** Stops gangs, and collects the final state of their members. */
import {
  type Clock,
  type Instant,
  type Milliseconds,
  Failure,
} from '@galenavalve/shared';
import type {Assignment} from '@galenavalve/model';
import {
  type AddressLookup,
  type GangMembers,
  toLeaseKey,
} from './gang_attempt.js';
import type {LeaseReport, TargetClient} from './target_client.js';

/** Interval at which a member is polled while it saves its progress. */
const CHECKPOINT_POLL_MS = 100;

/** Options for stopping a gang. */
export interface StopOptions {
  /** Whether progress is saved first. */
  checkpoint: boolean;
  /** Time in which the tasks may save their progress, in milliseconds. */
  graceMs: Milliseconds;
}

/** Result of stopping a gang. */
export interface GangStopResult {
  /** Report of each member that had a lease. */
  reports: LeaseReport[];
  /** Targets that did not respond. Their tasks end when their lease expires. */
  unreachable: string[];
  /** Targets that had no lease of the gang. */
  targetsWithoutLease: string[];
  /** Progress that every member has saved, in seconds; 0 unless all members reported. */
  progressSeconds: number;
}

/** Dependencies of a gang stopper. */
export interface GangStopperDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  clock: Clock;
  callTimeoutMs: Milliseconds;
}

/** Stops whole gangs. */
export class GangStopper {
  constructor(private readonly dependencies: GangStopperDependencies) {}

  /** Stops every member. Idempotent; takes at most the grace period and one call timeout. */
  async stop(gang: GangMembers, options: StopOptions): Promise<GangStopResult> {
    const deadline = this.dependencies.clock.now() + options.graceMs;
    const outcomes = await Promise.all(
      gang.assignments.map(assignment =>
        this.stopMember(gang, assignment, options, deadline),
      ),
    );
    return summarize(gang, outcomes);
  }

  private async stopMember(
    gang: GangMembers,
    assignment: Assignment,
    options: StopOptions,
    deadline: Instant,
  ): Promise<MemberOutcome> {
    try {
      for (;;) {
        const isGraceOver = this.dependencies.clock.now() >= deadline;
        const checkpoint = options.checkpoint && !isGraceOver;
        const report = await this.call(gang, assignment, {
          ...options,
          checkpoint,
        });
        if (report?.state !== 'running') {
          return report ?? 'unknown';
        }
        await this.dependencies.clock.sleep(CHECKPOINT_POLL_MS);
      }
    } catch {
      return 'unreachable';
    }
  }

  private call(
    gang: GangMembers,
    assignment: Assignment,
    options: StopOptions,
  ): Promise<LeaseReport | undefined> {
    const address = this.dependencies.findAddress(assignment.target);
    if (!address) {
      throw new Failure('target-unreachable', {
        target: assignment.target,
        problem: 'it is not in the inventory',
      });
    }
    return this.dependencies.client.stop(
      address,
      {...toLeaseKey(gang), term: gang.term, ...options},
      this.dependencies.callTimeoutMs,
    );
  }
}

/** Final report of a member; `unknown` when its target had no lease of the gang. */
type MemberOutcome = LeaseReport | 'unknown' | 'unreachable';

function summarize(
  gang: GangMembers,
  outcomes: readonly MemberOutcome[],
): GangStopResult {
  const targets = gang.assignments.map(assignment => assignment.target);
  const reports = outcomes.filter(outcome => typeof outcome !== 'string');
  const hasAllReports = reports.length === outcomes.length;
  const savedSeconds = reports.map(report => report.progressSeconds);
  return {
    reports,
    unreachable: targets.filter((_, i) => outcomes[i] === 'unreachable'),
    targetsWithoutLease: targets.filter((_, i) => outcomes[i] === 'unknown'),
    progressSeconds: hasAllReports ? Math.min(...savedSeconds) : 0,
  };
}
