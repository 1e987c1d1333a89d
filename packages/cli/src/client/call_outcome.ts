/** What is known of a call after all of its attempts. */
import {Failure} from '@galenavalve/shared';
import type {AttemptResult} from './attempt_result.js';

/**
 * Collects the results of attempts. Once one attempt may have taken effect, a
 * later "not run" is about that later attempt only, so the call stays unknown.
 */
export class CallOutcome {
  private maybeDone = false;
  private lastFailure: Failure | undefined;
  private lastProblem = 'no attempt was made before the deadline';

  constructor(
    /** Id of the command; undefined for a query, which changes nothing. */
    private readonly commandId: string | undefined,
  ) {}

  /** True for a command once an instance said "not run" and none may have run it. */
  get isNotRun(): boolean {
    const isCommand = this.commandId !== undefined;
    return isCommand && !this.maybeDone && this.lastFailure !== undefined;
  }

  /** Notes the result of an attempt. */
  addResult(result: AttemptResult<unknown>): void {
    if (result.kind === 'not-run') {
      this.lastFailure = result.failure;
    }
    if (result.kind === 'uncertain') {
      this.maybeDone = true;
      this.lastProblem = result.problem;
    }
    if (result.kind === 'unsent') {
      this.lastProblem = result.problem;
    }
  }

  /** The failure to report when an instance refused for good. */
  createRefusalFailure(refusal: Failure): Failure {
    return this.isUnknown() && isStateDependent(refusal)
      ? this.createUnknown()
      : refusal;
  }

  /** The failure to report when the attempts are over. */
  createFinalFailure(): Failure {
    if (this.isUnknown()) {
      return this.createUnknown();
    }
    const problem = this.lastProblem;
    return this.lastFailure ?? new Failure('entry-unreachable', {problem});
  }

  private isUnknown(): boolean {
    return this.maybeDone && this.commandId !== undefined;
  }

  private createUnknown(): Failure {
    const requestId = this.commandId ?? '';
    return new Failure('outcome-unknown', {
      requestId,
      problem: this.lastProblem,
    });
  }
}

/** Another instance, which has read more of the log, may have decided otherwise. */
function isStateDependent(failure: Failure): boolean {
  return failure.status === 422;
}
