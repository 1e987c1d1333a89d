/** What the advisor said of each step, and what it is to be asked next. */
import type {Clock, Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Advisor} from './advisor.js';
import {type UnitRun, memberCount} from './runs.js';
import type {TargetRoom} from './target_room.js';

/** Targets named in one call: the platform's rules count one call on 30 for a step. */
const TARGETS_PER_CALL = 30;

/** Longest wait for an answer; it takes a fixed time and some for each target. */
const ADVICE_TIMEOUT: Milliseconds = 4000;

/** Pause after a call that failed. */
const RETRY_PAUSE: Milliseconds = 300;

/** A ticket is used only while it is valid for this much longer: the placement is recorded first. */
const TICKET_MARGIN: Milliseconds = 300;

/** Calls that wait for their turn: the advisor takes one at a time of each instance. */
const MAX_WAITING = 8;

interface Ticket {
  text: string;
  validUntil: Instant;
}

interface StepAdvice {
  /** Targets that the advisor was asked about; what it says of them does not change. */
  asked: Set<string>;
  good: Map<string, Ticket>;
  isWaiting: boolean;
  retryAt: Instant;
}

/** Advice of one term of office. */
export class AdviceBook {
  private readonly steps = new Map<string, StepAdvice>();
  private turn: Promise<void> = Promise.resolve();
  private waiting = 0;

  constructor(
    private readonly advisor: Advisor,
    private readonly rooms: () => Iterable<TargetRoom>,
    private readonly onAdvice: () => void,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Targets that may run the unit now; undefined where the queue needs no advice. */
  allowedFor(unit: UnitRun, now: Instant): ReadonlySet<string> | undefined {
    if (!unit.job.job.terms.needsAdvice) {
      return undefined;
    }
    const advice = this.adviceOf(unit);
    const valid = [...advice.good].filter(
      ([, {validUntil}]) => validUntil > now + TICKET_MARGIN,
    );
    if (valid.length < memberCount(unit)) {
      this.ask(unit, advice, now);
    }
    return new Set(valid.map(([id]) => id));
  }

  /** The ticket with which a start is sent. */
  ticketFor(unit: UnitRun, targetId: string): string | undefined {
    return unit.job.job.terms.needsAdvice
      ? this.adviceOf(unit).good.get(targetId)?.text
      : undefined;
  }

  /** A target did not take its ticket: its life may be another. */
  onRefused(unit: UnitRun, targetId: string): void {
    const advice = this.adviceOf(unit);
    advice.good.delete(targetId);
    advice.asked.delete(targetId);
  }

  /** Forgets the steps of a job that has ended. */
  forget(jobId: string): void {
    for (const step of this.steps.keys()) {
      if (step.startsWith(`${jobId}.`)) {
        this.steps.delete(step);
      }
    }
  }

  private adviceOf(unit: UnitRun): StepAdvice {
    const name = stepName(unit);
    let advice = this.steps.get(name);
    if (!advice) {
      advice = {
        asked: new Set(),
        good: new Map(),
        isWaiting: false,
        retryAt: -Infinity,
      };
      this.steps.set(name, advice);
    }
    return advice;
  }

  private ask(unit: UnitRun, advice: StepAdvice, now: Instant): void {
    const isTooEarly = advice.isWaiting || now < advice.retryAt;
    if (isTooEarly || this.waiting >= MAX_WAITING) {
      return;
    }
    const ids = this.chooseTargets(unit, advice, now);
    if (ids.length === 0) {
      return;
    }
    advice.isWaiting = true;
    this.waiting++;
    this.turn = this.turn.then(() => this.call(unit, advice, ids));
  }

  /** First those whose tickets ran out, then the emptiest that were not asked about. */
  private chooseTargets(
    unit: UnitRun,
    advice: StepAdvice,
    now: Instant,
  ): string[] {
    const {pool} = unit.job.job.terms;
    const {requiredLabel} = unit.step;
    const open = [...this.rooms()].filter(
      ({info, isListed}) =>
        isListed &&
        !info.isDraining &&
        info.pool === pool &&
        (requiredLabel === undefined || info.labels.includes(requiredLabel)),
    );
    const expired = open.filter(({info}) => {
      const ticket = advice.good.get(info.id);
      return ticket && ticket.validUntil <= now + TICKET_MARGIN;
    });
    const unasked = open
      .filter(({info}) => !advice.asked.has(info.id))
      .sort((a, b) => b.free().accelerators - a.free().accelerators);
    return [...expired, ...unasked]
      .slice(0, TARGETS_PER_CALL)
      .map(({info}) => info.id);
  }

  private async call(
    unit: UnitRun,
    advice: StepAdvice,
    ids: readonly string[],
  ): Promise<void> {
    const sentAt = this.clock.now();
    const step = stepName(unit);
    const said = await this.advisor.advise(step, ids, ADVICE_TIMEOUT);
    this.waiting--;
    advice.isWaiting = false;
    if (said.kind !== 'advised') {
      advice.retryAt = this.clock.now() + RETRY_PAUSE;
      this.logger.warn('advice-missing', {job: unit.job.id, step, said});
      return;
    }
    for (const id of ids) {
      advice.asked.add(id);
      advice.good.delete(id);
    }
    for (const [id, text] of said.tickets) {
      advice.good.set(id, {text, validUntil: sentAt + said.validFor});
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

function stepName(unit: UnitRun): string {
  return `${unit.job.id}.${unit.occurrence}.${unit.stepIndex}`;
}
