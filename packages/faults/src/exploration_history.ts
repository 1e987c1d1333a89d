/** Requests and out-of-service periods of an exploration, against which promises are checked. */
import type {JobRequest} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';

/**
 * Latest outcome reported to a caller: `unknown` if the request may have been
 * recorded, `none` before the first response.
 */
export type SubmitOutcome = 'accepted' | 'not-run' | 'unknown' | 'none';

/** Request of a caller, with what the caller knows of it. */
export interface ObservedRequest {
  request: JobRequest;
  /** Empty until the request is accepted. */
  jobId: string;
  reportedOutcome: SubmitOutcome;
  /** Whether an earlier attempt to submit it had an unknown outcome. */
  wasUnknown: boolean;
  /** Whether the caller has asked to cancel it. */
  isCancelled: boolean;
}

/** Period in which operators, or a leaving target itself, allow no new work. */
export interface OutOfServicePeriod {
  /** Key such as `domain/d1` or `target/d1-t1`; `self/d1-t1` for a target that reports that it is leaving. */
  entity: string;
  since: Instant;
  /** Infinity while the period lasts. */
  until: Instant;
}

/** Collects the requests and out-of-service periods of one exploration. */
export class ExplorationHistory {
  /** Requests by request id. */
  readonly requests = new Map<string, ObservedRequest>();
  readonly outOfServicePeriods: OutOfServicePeriod[] = [];
  /** Whether any target has been set to fail every task. */
  hadFailingTargets = false;

  /** Opens a period for `entity` unless one is open. */
  onOutOfService(entity: string, since: Instant): void {
    if (!this.findOpenPeriod(entity)) {
      this.outOfServicePeriods.push({entity, since, until: Infinity});
    }
  }

  /** Closes the open period of `entity`, if any. */
  onInService(entity: string, now: Instant): void {
    const period = this.findOpenPeriod(entity);
    if (period) {
      period.until = now;
    }
  }

  private findOpenPeriod(entity: string): OutOfServicePeriod | undefined {
    return this.outOfServicePeriods.find(
      period => period.entity === entity && period.until === Infinity,
    );
  }
}
