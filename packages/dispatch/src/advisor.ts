/** The service that knows which targets may run a step of some queues. */
import type {Milliseconds} from '@galenavalve/shared';

/** What the advisor said. */
export type Advice =
  | {
      kind: 'advised';
      /** Tickets by the ids of the targets that may run the step. */
      tickets: ReadonlyMap<string, string>;
      validFor: Milliseconds;
    }
  /** It has too much to do. */
  | {kind: 'busy'}
  | {kind: 'unknown'; problem: string};

/** Asks the advisor. Never throws. */
export interface Advisor {
  /** `step` names a job, an occurrence and a step; at most 100 targets a call. */
  advise(
    step: string,
    targetIds: readonly string[],
    timeout: Milliseconds,
  ): Promise<Advice>;
}

/** Where no advisor is set, queues that need one wait. */
export class NoAdvisor implements Advisor {
  advise(): Promise<Advice> {
    return Promise.resolve({kind: 'unknown', problem: 'no advisor is set'});
  }
}
