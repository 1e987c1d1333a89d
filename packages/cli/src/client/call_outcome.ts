/** Derives the outcome of a call from the results of its attempts. */
import {Failure} from '@galenavalve/shared';
import type {AttemptResult} from './attempt_result.js';

/**
 * Collects the results of attempts. A "not run" is about one attempt only: if
 * another attempt may have taken effect, the outcome stays unknown.
 */
export class CallOutcome {
  private mayHaveTakenEffect = false;
  private lastFailure: Failure | undefined;
  private lastProblem = 'no attempt was made before the deadline';

  constructor(
    /** Idempotency key of a command; undefined for a query, which changes nothing. */
    private readonly commandId: string | undefined,
  ) {}

  /** True for a command if an instance reported that it was not run and no attempt may have taken effect. */
  get isNotRun(): boolean {
    const isCommand = this.commandId !== undefined;
    return (
      isCommand && !this.mayHaveTakenEffect && this.lastFailure !== undefined
    );
  }

  /** Adds the result of an attempt. */
  addResult(result: AttemptResult<unknown>): void {
    if (result.kind === 'not-run') {
      this.lastFailure = result.failure;
    }
    if (result.kind === 'uncertain') {
      this.mayHaveTakenEffect = true;
      this.lastProblem = result.problem;
    }
    if (result.kind === 'unsent') {
      this.lastProblem = result.problem;
    }
  }

  /** Returns the failure to report after a refusal. */
  createRefusalFailure(refusal: Failure): Failure {
    return this.isUnknown() && isStateDependent(refusal)
      ? this.createUnknownFailure()
      : refusal;
  }

  /** Returns the failure to report when no further attempt is made. */
  createFinalFailure(): Failure {
    if (this.isUnknown()) {
      return this.createUnknownFailure();
    }
    const problem = this.lastProblem;
    // Without a failure, no attempt got a conclusive response from an entry
    // instance, one that serves callers.
    return this.lastFailure ?? new Failure('entry-unreachable', {problem});
  }

  private isUnknown(): boolean {
    return this.mayHaveTakenEffect && this.commandId !== undefined;
  }

  private createUnknownFailure(): Failure {
    const requestId = this.commandId ?? '';
    return new Failure('outcome-unknown', {
      requestId,
      problem: this.lastProblem,
    });
  }
}

/** Checks whether an instance that has read more of the log might have decided otherwise. */
function isStateDependent(failure: Failure): boolean {
  return failure.status === 422;
}
