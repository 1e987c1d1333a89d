/** Events that a lease renewer emits to the scheduler. */
import type {UsageReport} from './target_client.js';

interface AttemptEvent {
  jobId: string;
  attempt: number;
}

/** All tasks of a gang have succeeded. */
export interface GangSucceeded extends AttemptEvent {
  kind: 'succeeded';
  /** Results by task index. */
  results: unknown[];
  ranSeconds: number;
}

/** A task of a gang has failed; the other members must be stopped. */
export interface GangFailed extends AttemptEvent {
  kind: 'failed';
  culprit: string;
  /** Index of the task that failed, if the target reported it. */
  task?: number;
  problem: string;
}

/**
 * A target lost its lease of a gang, or was unreachable until the lease
 * expired; the other members must be stopped.
 */
export interface MemberLost extends AttemptEvent {
  kind: 'member-lost';
  culprit: string;
  problem: string;
}

/** A change in the state of a target. */
export interface TargetEvent {
  kind:
    | 'target-leaving'
    | 'target-staying'
    | 'target-silent'
    | 'target-answering'
    /** The target refused the call because it has seen a higher term. */
    | 'target-superseded';
  target: string;
}

/** Usage that a target measured `ageMs` before its report. */
export interface UsageMeasured {
  kind: 'usage';
  target: string;
  /** Age of the figures in milliseconds. */
  ageMs: number;
  usage: UsageReport[];
}

/** Any event of a lease renewer. */
export type LeaseRenewerEvent =
  GangSucceeded | GangFailed | MemberLost | TargetEvent | UsageMeasured;

/** The outcome of a gang. */
export type GangOutcome = GangSucceeded | GangFailed | MemberLost;
