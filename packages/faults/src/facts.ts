/** What an exploration noted down, for the promises to be checked against. */
import type {JobRequest} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';

/** What a caller was told last. */
export type CallerAnswer = 'accepted' | 'not-run' | 'unknown' | 'none';

/** One request of a caller. */
export interface RequestFact {
  request: JobRequest;
  jobId: string;
  answer: CallerAnswer;
  /** Whether an earlier answer left it open. */
  wasUnknown: boolean;
  isCancelled: boolean;
}

/** A time in which something took no new work by order of operators, or of the target itself. */
export interface OutOfServiceFact {
  /** Failure domain or target. */
  entity: string;
  since: Instant;
  until: Instant;
}

/** Everything noted. */
export class Facts {
  readonly requests = new Map<string, RequestFact>();
  readonly outages: OutOfServiceFact[] = [];
  /** Whether any target ever failed every task. */
  hadBadTargets = false;

  noteOut(entity: string, since: Instant): void {
    if (!this.present(entity)) {
      this.outages.push({entity, since, until: Infinity});
    }
  }

  noteIn(entity: string, now: Instant): void {
    const present = this.present(entity);
    if (present) {
      present.until = now;
    }
  }

  private present(entity: string): OutOfServiceFact | undefined {
    return this.outages.find(
      fact => fact.entity === entity && fact.until === Infinity,
    );
  }
}
