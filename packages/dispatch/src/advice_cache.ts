/** What the advisor said of each step, and what it is to be asked next. */
import type {Clock, Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Advisor} from './advisor.js';
import {type ActiveUnit, countMembers} from './active_job.js';
import type {TargetState} from './target_state.js';

/** Targets named in one call: the platform's rules count one call on 30 for a step. */
const MAX_TARGETS_PER_CALL = 30;

/** Longest wait for an answer; it takes a fixed time and some for each target. */
const ADVICE_TIMEOUT_MS: Milliseconds = 4000;

/** Pause after a call that failed. */
const RETRY_DELAY_MS: Milliseconds = 300;

/** A ticket is used only while it is valid for this much longer: the placement is recorded first. */
const TICKET_MARGIN_MS: Milliseconds = 300;

/** Calls that wait for their turn: the advisor takes one at a time of each instance. */
const MAX_PENDING_CALLS = 8;

interface Ticket {
  text: string;
  validUntil: Instant;
}

interface StepAdvice {
  /** Targets that the advisor was asked about; what it says of them does not change. */
  queriedTargets: Set<string>;
  tickets: Map<string, Ticket>;
  isPending: boolean;
  retryAt: Instant;
}

/** Advice of one term of office. */
export class AdviceCache {
  private readonly steps = new Map<string, StepAdvice>();
  private turn: Promise<void> = Promise.resolve();
  private waiting = 0;

  constructor(
    private readonly advisor: Advisor,
    private readonly rooms: () => Iterable<TargetState>,
    private readonly onAdvice: () => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Targets that may run the unit now; undefined where the queue needs no advice. */
  findAllowedTargets(
    unit: ActiveUnit,
    now: Instant,
  ): ReadonlySet<string> | undefined {
    if (!unit.job.accepted.terms.needsAdvice) {
      return undefined;
    }
    const advice = this.adviceOf(unit);
    const valid = [...advice.tickets].filter(
      ([, {validUntil}]) => validUntil > now + TICKET_MARGIN_MS,
    );
    if (valid.length < countMembers(unit)) {
      this.ask(unit, advice, now);
    }
    return new Set(valid.map(([id]) => id));
  }

  /** The ticket with which a start is sent. */
  findTicket(unit: ActiveUnit, targetId: string): string | undefined {
    return unit.job.accepted.terms.needsAdvice
      ? this.adviceOf(unit).tickets.get(targetId)?.text
      : undefined;
  }

  /** A target did not take its ticket: its life may be another. */
  onTicketRefused(unit: ActiveUnit, targetId: string): void {
    const advice = this.adviceOf(unit);
    advice.tickets.delete(targetId);
    advice.queriedTargets.delete(targetId);
  }

  /** Forgets the steps of a job that has ended. */
  removeJob(jobId: string): void {
    for (const step of this.steps.keys()) {
      if (step.startsWith(`${jobId}.`)) {
        this.steps.delete(step);
      }
    }
  }

  private adviceOf(unit: ActiveUnit): StepAdvice {
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

  private ask(unit: ActiveUnit, advice: StepAdvice, now: Instant): void {
    const isTooEarly = advice.isPending || now < advice.retryAt;
    if (isTooEarly || this.waiting >= MAX_PENDING_CALLS) {
      return;
    }
    const ids = this.chooseTargets(unit, advice, now);
    if (ids.length === 0) {
      return;
    }
    advice.isPending = true;
    this.waiting++;
    this.turn = this.turn.then(() => this.call(unit, advice, ids));
  }

  /** First those whose tickets ran out, then the emptiest that were not asked about. */
  private chooseTargets(
    unit: ActiveUnit,
    advice: StepAdvice,
    now: Instant,
  ): string[] {
    const {pool} = unit.job.accepted.terms;
    const {requiredLabel} = unit.step;
    const open = [...this.rooms()].filter(
      ({info, isRegistered: isListed}) =>
        isListed &&
        !info.isDraining &&
        info.pool === pool &&
        (requiredLabel === undefined || info.labels.includes(requiredLabel)),
    );
    const expired = open.filter(({info}) => {
      const ticket = advice.tickets.get(info.id);
      return ticket && ticket.validUntil <= now + TICKET_MARGIN_MS;
    });
    const unasked = open
      .filter(({info}) => !advice.queriedTargets.has(info.id))
      .sort(
        (a, b) =>
          b.computeFreeCapacity().accelerators -
          a.computeFreeCapacity().accelerators,
      );
    return [...expired, ...unasked]
      .slice(0, MAX_TARGETS_PER_CALL)
      .map(({info}) => info.id);
  }

  private async call(
    unit: ActiveUnit,
    advice: StepAdvice,
    ids: readonly string[],
  ): Promise<void> {
    const sentAt = this.clock.now();
    const step = formatStepName(unit);
    const said = await this.advisor.advise(step, ids, ADVICE_TIMEOUT_MS);
    this.waiting--;
    advice.isPending = false;
    if (said.kind !== 'advised') {
      advice.retryAt = this.clock.now() + RETRY_DELAY_MS;
      this.logger.warn('advice-missing', {job: unit.job.id, step, said});
      return;
    }
    for (const id of ids) {
      advice.queriedTargets.add(id);
      advice.tickets.delete(id);
    }
    for (const [id, text] of said.tickets) {
      advice.tickets.set(id, {text, validUntil: sentAt + said.validFor});
    }
    this.logger.info('advised', {
      job: unit.job.id,
      step,
      asked: ids.length,
      good: said.tickets.size,
    });
    this.onAdvice();
  }
}

function formatStepName(unit: ActiveUnit): string {
  return `${unit.job.id}.${unit.occurrence}.${unit.stepIndex}`;
}
