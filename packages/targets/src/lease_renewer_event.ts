/** What a lease keeper tells the scheduler. */
import type {UsageReport} from './target_client.js';

interface AttemptEvent {
  jobId: string;
  attempt: number;
}

/** Every task of a gang has ended well. */
export interface GangSucceeded extends AttemptEvent {
  kind: 'succeeded';
  /** By task index. */
  results: unknown[];
  ranSeconds: number;
}

/** A task of a gang has failed; the others have to be stopped. */
export interface GangFailed extends AttemptEvent {
  kind: 'failed';
  culprit: string;
  /** Index of the task that failed, if the target said so. */
  task?: number;
  problem: string;
}

/** A member of a gang is gone or silent beyond its lease; the others have to be stopped. */
export interface MemberLost extends AttemptEvent {
  kind: 'member-lost';
  culprit: string;
  problem: string;
}

/** What a target shows of itself. */
export interface TargetEvent {
  kind:
    | 'target-leaving'
    | 'target-staying'
    | 'target-silent'
    | 'target-answering'
    /** The target has seen a higher term. */
    | 'target-superseded';
  target: string;
}

/** Usage that a target measured a while ago. */
export interface UsageMeasured {
  kind: 'usage';
  target: string;
  /** Age of the figures in milliseconds. */
  ageMs: number;
  usage: UsageReport[];
}

/** Any event of a lease keeper. */
export type LeaseRenewerEvent =
  GangSucceeded | GangFailed | MemberLost | TargetEvent | UsageMeasured;

/** The verdict on a gang. */
export type GangOutcome = GangSucceeded | GangFailed | MemberLost;
