/** What an exploration noted down, for the promises to be checked against. */
import type {JobRequest} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';

/** What a caller was told last. */
export type SubmitOutcome = 'accepted' | 'not-run' | 'unknown' | 'none';

/** One request of a caller. */
export interface ObservedRequest {
  request: JobRequest;
  jobId: string;
  reportedOutcome: SubmitOutcome;
  /** Whether an earlier answer left it open. */
  wasUnknown: boolean;
  isCancelled: boolean;
}

/** A time in which something took no new work by order of operators, or of the target itself. */
export interface OutOfServicePeriod {
  /** Failure domain or target. */
  entity: string;
  since: Instant;
  until: Instant;
}

/** Everything noted. */
export class ExplorationHistory {
  readonly requests = new Map<string, ObservedRequest>();
  readonly outOfServicePeriods: OutOfServicePeriod[] = [];
  /** Whether any target ever failed every task. */
  hadFailingTargets = false;

  onOutOfService(entity: string, since: Instant): void {
    if (!this.present(entity)) {
      this.outOfServicePeriods.push({entity, since, until: Infinity});
    }
  }

  onInService(entity: string, now: Instant): void {
    const present = this.present(entity);
    if (present) {
      present.until = now;
    }
  }

  private present(entity: string): OutOfServicePeriod | undefined {
    return this.outOfServicePeriods.find(
      fact => fact.entity === entity && fact.until === Infinity,
    );
  }
}
