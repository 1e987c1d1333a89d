/** Orders to targets. Ports never throw: an answer that did not come is an outcome. */
import type {Milliseconds} from '@galenavalve/shared';

/** Where and to which life of a target an order goes. */
export interface TargetAddress {
  id: string;
  address: string;
}

/** Starts one run of a task. */
export interface StartCommand {
  task: string;
  run: number;
  payload: string;
  checkpoint: string;
  /** End of the target's lease on the target's own clock, in milliseconds. */
  leaseUntil: number;
  epoch: number;
  /** Permission of the queue's advisor. */
  ticket?: string;
}

/** Stops one run and bars it for ever. */
export interface StopCommand {
  task: string;
  run: number;
  epoch: number;
}

/** Renews a target's lease, acknowledges ends and asks for what runs. */
export interface PollRequest {
  epoch: number;
  /** Absent when the lease is not to be extended. */
  leaseUntil?: number;
  /** Ends up to this number are recorded and may be forgotten. */
  acknowledgedEnd: number;
  /** The answer waits this long for a new end, in milliseconds. */
  wait: Milliseconds;
}

/** Why a target refused an order. */
export type RefusalReason =
  'fenced' | 'superseded' | 'late' | 'room' | 'ticket';

/** What became of an order. `clock` is the target's own clock in milliseconds. */
export type CommandOutcome =
  | {kind: 'done'; clock: number}
  | {kind: 'refused'; reason: RefusalReason; clock: number}
  /** Another life answers at the address. */
  | {kind: 'other-life'}
  /** The target did nothing and says it is unhealthy. */
  | {kind: 'unhealthy'}
  /** The order is not valid for this target. */
  | {kind: 'invalid'; problem: string}
  /** No answer: it may have been carried out, or may be later. */
  | {kind: 'unknown'; problem: string};

/** A run that a target lists. */
export interface ListedRun {
  task: string;
  run: number;
  checkpoint: string;
  /** Share of the work done, in percent. */
  percent: number;
}

/** How a run ended. */
export type EndKind =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** An end that a target lists. */
export interface ListedEnd {
  number: number;
  task: string;
  run: number;
  kind: EndKind;
  checkpoint: string;
}

/** What a target said of itself. */
export interface TargetListing {
  /** Unix milliseconds of the start of the answering life; 0 when it did not say. */
  born: number;
  clock: number;
  running: ListedRun[];
  ended: ListedEnd[];
}

/** What became of a hold. */
export type PollOutcome =
  | {kind: 'listed'; listing: TargetListing}
  | Exclude<CommandOutcome, {kind: 'done'}>;

/** Carries orders to targets. */
export interface TargetPort {
  start(
    target: TargetAddress,
    order: StartCommand,
    timeout: Milliseconds,
  ): Promise<CommandOutcome>;
  stop(
    target: TargetAddress,
    order: StopCommand,
    timeout: Milliseconds,
  ): Promise<CommandOutcome>;
  poll(
    target: TargetAddress,
    order: PollRequest,
    timeout: Milliseconds,
  ): Promise<PollOutcome>;
}
