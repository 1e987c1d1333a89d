/**
 * Caches the advisor's responses per step and schedules further calls to it.
 */
import type {Clock, Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Advisor} from './advisor.js';
import {type ActiveUnit, countMembers} from './active_job.js';
import type {TargetState} from './target_state.js';

/**
 * Targets per call. The platform's objective for a job counts one advice call
 * with 30 targets per step.
 */
const MAX_TARGETS_PER_CALL = 30;

/**
 * Timeout of a call; the advisor needs a fixed time plus some time per target.
 */
const ADVICE_TIMEOUT_MS: Milliseconds = 4000;

/** Delay before the retry of a failed call. */
const RETRY_DELAY_MS: Milliseconds = 300;

/**
 * Minimum remaining validity of a ticket that is used, since the placement is
 * written to the log before the start.
 */
const TICKET_MARGIN_MS: Milliseconds = 300;

/**
 * Limit of queued calls; the advisor serves one call at a time per instance.
 */
const MAX_PENDING_CALLS = 8;

interface Ticket {
  text: string;
  validUntil: Instant;
}

interface StepAdvice {
  /**
   * Targets that the advisor was queried about. Its decision on a target does
   * not change.
   */
  queriedTargets: Set<string>;
  /** Tickets by target id. */
  tickets: Map<string, Ticket>;
  /** Whether a call for the step is queued or in progress. */
  isPending: boolean;
  /** Earliest time of the next call. */
  retryAt: Instant;
}

/** Advice that one leader has collected. */
export class AdviceCache {
  private readonly steps = new Map<string, StepAdvice>();
  private lastCall: Promise<void> = Promise.resolve();
  private pendingCallCount = 0;

  constructor(
    private readonly advisor: Advisor,
    private readonly listTargets: () => Iterable<TargetState>,
    private readonly onAdvice: () => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Returns the targets that may run the unit now; undefined if the queue needs
   * no advice. Calls the advisor if fewer tickets are valid than the unit has
   * members.
   */
  findAllowedTargets(
    unit: ActiveUnit,
    now: Instant,
  ): ReadonlySet<string> | undefined {
    if (!unit.job.accepted.terms.needsAdvice) {
      return undefined;
    }
    const advice = this.getOrCreateAdvice(unit);
    const valid = [...advice.tickets].filter(
      ([, {validUntil}]) => validUntil > now + TICKET_MARGIN_MS,
    );
    if (valid.length < countMembers(unit)) {
      this.requestAdvice(unit, advice, now);
    }
    return new Set(valid.map(([id]) => id));
  }

  /** Returns the ticket to send with a start command. */
  findTicket(unit: ActiveUnit, targetId: string): string | undefined {
    return unit.job.accepted.terms.needsAdvice
      ? this.getOrCreateAdvice(unit).tickets.get(targetId)?.text
      : undefined;
  }

  /**
   * Discards the advice on a target that refused its ticket: the target may
   * have a new incarnation.
   */
  onTicketRefused(unit: ActiveUnit, targetId: string): void {
    const advice = this.getOrCreateAdvice(unit);
    advice.tickets.delete(targetId);
    advice.queriedTargets.delete(targetId);
  }

  /** Drops the advice for all steps of a job that has ended. */
  removeJob(jobId: string): void {
    for (const step of this.steps.keys()) {
      if (step.startsWith(`${jobId}.`)) {
        this.steps.delete(step);
      }
    }
  }

  private getOrCreateAdvice(unit: ActiveUnit): StepAdvice {
    const name = formatStepName(unit);
    let advice = this.steps.get(name);
    if (!advice) {
      advice = {
        queriedTargets: new Set(),
        tickets: new Map(),
        isPending: false,
        retryAt: -Infinity,
      };
      this.steps.set(name, advice);
    }
    return advice;
  }

  private requestAdvice(
    unit: ActiveUnit,
    advice: StepAdvice,
    now: Instant,
  ): void {
    const isTooEarly = advice.isPending || now < advice.retryAt;
    if (isTooEarly || this.pendingCallCount >= MAX_PENDING_CALLS) {
      return;
    }
    const ids = this.chooseTargets(unit, advice, now);
    if (ids.length === 0) {
      return;
    }
    advice.isPending = true;
    this.pendingCallCount++;
    this.lastCall = this.lastCall.then(() =>
      this.callAdvisor(unit, advice, ids),
    );
  }

  /**
   * Chooses targets whose tickets have expired, then those that were not
   * queried yet, with most free accelerators first.
   */
  private chooseTargets(
    unit: ActiveUnit,
    advice: StepAdvice,
    now: Instant,
  ): string[] {
    const {pool} = unit.job.accepted.terms;
    const {requiredLabel} = unit.step;
    const usable = [...this.listTargets()].filter(
      ({info, isRegistered}) =>
        isRegistered &&
        !info.isDraining &&
        info.pool === pool &&
        (requiredLabel === undefined || info.labels.includes(requiredLabel)),
    );
    const expired = usable.filter(({info}) => {
      const ticket = advice.tickets.get(info.id);
      return ticket && ticket.validUntil <= now + TICKET_MARGIN_MS;
    });
    const unqueried = usable
      .filter(({info}) => !advice.queriedTargets.has(info.id))
      .sort(
        (a, b) =>
          b.computeFreeCapacity().accelerators -
          a.computeFreeCapacity().accelerators,
      );
    return [...expired, ...unqueried]
      .slice(0, MAX_TARGETS_PER_CALL)
      .map(({info}) => info.id);
  }

  private async callAdvisor(
    unit: ActiveUnit,
    advice: StepAdvice,
    ids: readonly string[],
  ): Promise<void> {
    const sentAt = this.clock.now();
    const step = formatStepName(unit);
    const response = await this.advisor.advise(step, ids, ADVICE_TIMEOUT_MS);
    this.pendingCallCount--;
    advice.isPending = false;
    if (response.kind !== 'advised') {
      advice.retryAt = this.clock.now() + RETRY_DELAY_MS;
      this.logger.warn('advice-missing', {
        job: unit.job.id,
        step,
        said: response,
      });
      return;
    }
    for (const id of ids) {
      advice.queriedTargets.add(id);
      advice.tickets.delete(id);
    }
    for (const [id, text] of response.tickets) {
      advice.tickets.set(id, {text, validUntil: sentAt + response.validFor});
    }
    this.logger.info('advised', {
      job: unit.job.id,
      step,
      asked: ids.length,
      good: response.tickets.size,
    });
    this.onAdvice();
  }
}

function formatStepName(unit: ActiveUnit): string {
  return `${unit.job.id}.${unit.occurrence}.${unit.stepIndex}`;
}
