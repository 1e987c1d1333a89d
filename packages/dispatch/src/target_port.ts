/**
 * Port through which commands and polls are sent to targets. Its methods never
 * throw: a missing response is an outcome.
 */
import type {Milliseconds} from '@galenavalve/shared';

/** Id and address of the target that a command is sent to. */
export interface TargetAddress {
  id: string;
  address: string;
}

/** Starts one run of a task. */
export interface StartCommand {
  task: string;
  run: number;
  payload: string;
  /** Checkpoint to start from; empty for a start from scratch. */
  checkpoint: string;
  /** End of the target's lease, in milliseconds of the target's clock. */
  leaseUntil: number;
  /**
   * Fencing token; a target refuses epochs lower than the highest it has seen.
   */
  epoch: number;
  /** Ticket of the advisor, if the queue needs one. */
  ticket?: string;
}

/** Stops one run and prevents it from ever starting. */
export interface StopCommand {
  task: string;
  run: number;
  /** Fencing token, as in `StartCommand`. */
  epoch: number;
}

/** Renews a target's lease, acknowledges ends and requests a listing. */
export interface PollRequest {
  /** Fencing token, as in `StartCommand`. */
  epoch: number;
  /**
   * End of the lease, in milliseconds of the target's clock; undefined if it is
   * not extended.
   */
  leaseUntil?: number;
  /**
   * Number of the last end that is in the log; the target may forget ends up to
   * it.
   */
  acknowledgedEnd: number;
  /** Time that the target waits for a new end before it responds. */
  wait: Milliseconds;
  /** Whether connections that are open may lead to a former incarnation and must not be used. */
  needsNewConnection?: boolean;
}

/** Reason why a target refused a command. */
export type RefusalReason =
  'fenced' | 'superseded' | 'late' | 'room' | 'ticket';

/** Outcome of a command. `clock` is the target's clock in milliseconds. */
export type CommandOutcome =
  | {kind: 'done'; clock: number}
  | {kind: 'refused'; reason: RefusalReason; clock: number}
  /** Another incarnation responded at the address. */
  | {kind: 'other-life'}
  /** The target did nothing and reports that it is unhealthy. */
  | {kind: 'unhealthy'}
  /** The command is not valid for this target. */
  | {kind: 'invalid'; problem: string}
  /** The command was not sent. */
  | {kind: 'unsent'; problem: string}
  /** No response: the command may have been carried out, or may be later. */
  | {kind: 'unknown'; problem: string};

/** A run that a target lists as running. */
export interface ListedRun {
  task: string;
  run: number;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Progress in whole percent. */
  percent: number;
}

/** How a run ended. */
export type EndKind =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A run that a target lists as ended. */
export interface ListedEnd {
  /** Ascending number of the end at its target, by which it is acknowledged. */
  number: number;
  task: string;
  run: number;
  kind: EndKind;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
}

/** A target's report of its running and ended runs. */
export interface TargetListing {
  /**
   * Start time of the responding incarnation in Unix milliseconds; 0 if it was
   * not reported.
   */
  born: number;
  /** Clock of the target in milliseconds. */
  clock: number;
  running: ListedRun[];
  ended: ListedEnd[];
}

/** Outcome of a poll. */
export type PollOutcome =
  | {kind: 'listed'; listing: TargetListing}
  | Exclude<CommandOutcome, {kind: 'done'}>;

/** Sends commands and polls to targets. */
export interface TargetPort {
  start(
    target: TargetAddress,
    command: StartCommand,
    timeout: Milliseconds,
  ): Promise<CommandOutcome>;
  stop(
    target: TargetAddress,
    command: StopCommand,
    timeout: Milliseconds,
  ): Promise<CommandOutcome>;
  poll(
    target: TargetAddress,
    command: PollRequest,
    timeout: Milliseconds,
  ): Promise<PollOutcome>;
}
