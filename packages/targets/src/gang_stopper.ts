/** Stops gangs, and learns what became of their tasks. */
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

/** Time between two questions whether progress is saved. */
const SAVE_POLL_MS = 100;

/** How a gang is stopped. */
export interface StopOptions {
  /** True to save progress first. */
  checkpoint: boolean;
  /** Time that the tasks get to save their progress, in milliseconds. */
  graceMs: Milliseconds;
}

/** What became of a gang that was stopped. */
export interface GangStopResult {
  /** By member; a target that knew nothing of the gang gives none. */
  reports: LeaseReport[];
  /** Targets that did not answer. Their tasks end with their lease. */
  unreachable: string[];
  /** Targets that knew nothing of the gang. */
  targetsWithoutLease: string[];
  /** Progress that every member has saved, in seconds. */
  progressSeconds: number;
}

/** What the stopper works with. */
export interface GangStopperDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  clock: Clock;
  callTimeoutMs: Milliseconds;
}

/** Stops whole gangs. */
export class GangStopper {
  constructor(private readonly parts: GangStopperDependencies) {}

  /** Stops every member; idempotent. Waits at most the grace and one timeout. */
  async stop(
    order: GangMembers,
    options: StopOptions,
  ): Promise<GangStopResult> {
    const deadline = this.parts.clock.now() + options.graceMs;
    const ends = await Promise.all(
      order.assignments.map(assignment =>
        this.stopMember(order, assignment, options, deadline),
      ),
    );
    return summarize(order, ends);
  }

  private async stopMember(
    order: GangMembers,
    assignment: Assignment,
    options: StopOptions,
    deadline: Instant,
  ): Promise<MemberEnd> {
    try {
      for (;;) {
        const isLate = this.parts.clock.now() >= deadline;
        const checkpoint = options.checkpoint && !isLate;
        const report = await this.call(order, assignment, {
          ...options,
          checkpoint,
        });
        if (report?.state !== 'running') {
          return report ?? 'unknown';
        }
        await this.parts.clock.sleep(SAVE_POLL_MS);
      }
    } catch {
      return 'unreachable';
    }
  }

  private call(
    order: GangMembers,
    assignment: Assignment,
    options: StopOptions,
  ): Promise<LeaseReport | undefined> {
    const address = this.parts.findAddress(assignment.target);
    if (!address) {
      throw new Failure('target-unreachable', {
        target: assignment.target,
        problem: 'it is not in the inventory',
      });
    }
    return this.parts.client.stop(
      address,
      {...toLeaseKey(order), term: order.term, ...options},
      this.parts.callTimeoutMs,
    );
  }
}

type MemberEnd = LeaseReport | 'unknown' | 'unreachable';

function summarize(
  order: GangMembers,
  ends: readonly MemberEnd[],
): GangStopResult {
  const targets = order.assignments.map(assignment => assignment.target);
  const reports = ends.filter(end => typeof end !== 'string');
  const isWhole = reports.length === ends.length;
  const saved = reports.map(report => report.progressSeconds);
  return {
    reports,
    unreachable: targets.filter((_, i) => ends[i] === 'unreachable'),
    targetsWithoutLease: targets.filter((_, i) => ends[i] === 'unknown'),
    progressSeconds: isWhole ? Math.min(...saved) : 0,
  };
}
