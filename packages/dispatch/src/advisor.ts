/**
 * The advisor: a service that decides which targets may run the steps of
 * certain queues.
 */
import type {Milliseconds} from '@galenavalve/shared';

/** Outcome of a call to the advisor. */
export type Advice =
  | {
      kind: 'advised';
      /** Tickets by target id, for the targets that may run the step. */
      tickets: ReadonlyMap<string, string>;
      validFor: Milliseconds;
    }
  /** The advisor is overloaded. */
  | {kind: 'busy'}
  | {kind: 'unknown'; problem: string};

/** Client of the advisor. Its methods never throw. */
export interface Advisor {
  /**
   * `step` identifies a job, an occurrence and a step. A call may name at most
   * 100 targets.
   */
  advise(
    step: string,
    targetIds: readonly string[],
    timeout: Milliseconds,
  ): Promise<Advice>;
}

/** Used when no advisor is configured; queues that need advice wait. */
export class NoAdvisor implements Advisor {
  advise(): Promise<Advice> {
    return Promise.resolve({
      kind: 'unknown',
      problem: 'no advisor is configured',
    });
  }
}
