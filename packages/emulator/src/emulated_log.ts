/** The platform's log in memory, in virtual time, with its faults. */
import type {FencingToken, FencedAppendOutcome} from '@galenavalve/dispatch';
import type {AppendOutcome} from '@galenavalve/gateway';
import {type SharedLog, toUnfencedOutcome} from '@galenavalve/relay';
import type {Clock, Milliseconds, Random} from '@galenavalve/shared';
import type {
  KeyedRecord,
  NewestPage,
  StoredRecord,
  TailPage,
} from '@galenavalve/workload';

/** Time of an answer, in milliseconds; the platform's sheets give 4. */
const ANSWER_TIME = 4;

/** Time that one append takes of its partition, which carries them out one at a time, in milliseconds; from the platform's settings. */
const APPEND_TIME = 2;

/** An append that would wait longer than this for those before it is refused, in milliseconds; from the platform's pages. */
const MOST_WAITING = 2000;

/** A read that waits looks for new records this often, in milliseconds. */
const POLL_INTERVAL = 5;

/** A late append is carried out within this time, in milliseconds; the platform's pages give seconds. */
const LATEST_APPEND = 6000;

/** Appends that a repeated sequence number is recognised among. */
const REMEMBERED_APPENDS = 5;

/** Faults of the log. */
export interface LogFaults {
  /** Instances that it does not answer; `all` for everyone. */
  silentTo: Set<string>;
  /** Instances that it refuses at once. */
  busyTo: Set<string>;
  /** Share of appends that are carried out and not answered. */
  lostAnswers: number;
  /** Share of unanswered appends that are carried out seconds later. */
  lateAppends: number;
  /** Answers take this many times as long. */
  slowness: number;
}

interface Fence {
  epoch: number;
  appends: Array<{sequence: number; offset: number}>;
}

/** One keyed partition. */
export class EmulatedLog {
  readonly faults: LogFaults = {
    silentTo: new Set(),
    busyTo: new Set(),
    lostAnswers: 0,
    lateAppends: 0,
    slowness: 1,
  };
  private records: StoredRecord[] = [];
  private first = 0;
  private fence?: Fence;
  /** When the appends that came so far are carried out. */
  private appendsDoneAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The log as one instance reaches it. */
  createClient(instance: string): SharedLog {
    return new LogClient(this, instance);
  }

  /** Forgets the history; the newest record of each key stays. */
  compact(): void {
    this.first = this.end;
  }

  get end(): number {
    return this.records.length;
  }

  /** Every record ever appended, for auditors. */
  get history(): readonly StoredRecord[] {
    return this.records;
  }

  /** Appends at once, as an operator would. */
  put(record: KeyedRecord): number {
    return this.push([record]);
  }

  async appendFor(
    instance: string,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
    fencing?: FencingToken,
  ): Promise<FencedAppendOutcome> {
    const {lostAnswers, lateAppends, slowness} = this.faults;
    const waiting = Math.max(0, this.appendsDoneAt - this.clock.now());
    if (waiting > MOST_WAITING) {
      return {kind: 'refused', problem: 'busy'};
    }
    const answerTime = ANSWER_TIME * slowness + waiting;
    this.appendsDoneAt = this.clock.now() + waiting + APPEND_TIME * slowness;
    if (answerTime > timeout && !this.isSilentTo(instance)) {
      // It is carried out all the same, after its caller has gone.
      void this.clock
        .sleep(answerTime)
        .then(() => this.perform(records, fencing));
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no answer'};
    }
    await this.clock.sleep(waiting);
    const problem = await this.reach(instance, timeout);
    if (problem) {
      return problem;
    }
    if (this.random.next() < lostAnswers) {
      const isLate = this.random.next() < lateAppends;
      const delay = isLate ? this.random.next() * LATEST_APPEND : 0;
      void this.clock.sleep(delay).then(() => this.perform(records, fencing));
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no answer'};
    }
    return this.perform(records, fencing);
  }

  async newestFor(instance: string): Promise<NewestPage> {
    await this.reachOrThrow(instance, 1000);
    const newest = new Map<string, StoredRecord>();
    for (const record of this.records) {
      newest.delete(record.key);
      if (record.value !== '') {
        newest.set(record.key, record);
      }
    }
    return {records: [...newest.values()], end: this.end};
  }

  async tailFor(
    instance: string,
    offset: number,
    wait: Milliseconds,
  ): Promise<TailPage> {
    await this.reachOrThrow(instance, wait + 1000);
    const until = this.clock.now() + wait;
    while (this.end <= offset && this.clock.now() < until) {
      await this.clock.sleep(POLL_INTERVAL);
      if (this.isSilentTo(instance)) {
        await this.clock.sleep(1000);
        throw new Error('no answer');
      }
    }
    if (offset < this.first) {
      return {kind: 'expired'};
    }
    const records = this.records.slice(offset);
    return {kind: 'records', records, next: this.end, end: this.end};
  }

  private perform(
    records: readonly KeyedRecord[],
    fencing?: FencingToken,
  ): FencedAppendOutcome {
    if (!fencing) {
      return {kind: 'appended', offset: this.push(records)};
    }
    const {epoch, sequence, endsAt} = fencing;
    if (endsAt !== undefined && endsAt !== this.end) {
      return {kind: 'moved'};
    }
    if (!this.fence || epoch > this.fence.epoch) {
      this.fence = {epoch, appends: []};
    } else if (epoch < this.fence.epoch) {
      return {kind: 'fenced'};
    }
    const {appends} = this.fence;
    const repeated = appends.find(each => each.sequence === sequence);
    if (repeated) {
      return {kind: 'appended', offset: repeated.offset};
    }
    const last = appends.at(-1)?.sequence;
    if (last !== undefined && sequence !== last + 1) {
      return {kind: 'fenced'};
    }
    const offset = this.push(records);
    appends.push({sequence, offset});
    this.fence.appends = appends.slice(-REMEMBERED_APPENDS);
    return {kind: 'appended', offset};
  }

  private push(records: readonly KeyedRecord[]): number {
    const offset = this.end;
    for (const record of records) {
      this.records.push({...record, offset: this.end});
    }
    return offset;
  }

  private async reach(
    instance: string,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome | undefined> {
    await this.clock.sleep(ANSWER_TIME * this.faults.slowness);
    if (this.isSilentTo(instance)) {
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no answer'};
    }
    return this.faults.busyTo.has(instance) || this.faults.busyTo.has('all')
      ? {kind: 'refused', problem: 'busy'}
      : undefined;
  }

  private async reachOrThrow(
    instance: string,
    timeout: Milliseconds,
  ): Promise<void> {
    const problem = await this.reach(instance, timeout);
    if (problem) {
      throw new Error(problem.kind);
    }
  }

  private isSilentTo(instance: string): boolean {
    const {silentTo} = this.faults;
    return silentTo.has(instance) || silentTo.has('all');
  }
}

class LogClient implements SharedLog {
  constructor(
    private readonly log: EmulatedLog,
    private readonly instance: string,
  ) {}

  async append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<AppendOutcome> {
    return toUnfencedOutcome(
      await this.log.appendFor(this.instance, records, timeout),
    );
  }

  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    return this.log.appendFor(this.instance, records, timeout, fencing);
  }

  readNewest(): Promise<NewestPage> {
    return this.log.newestFor(this.instance);
  }

  readTail(offset: number, wait: Milliseconds): Promise<TailPage> {
    return this.log.tailFor(this.instance, offset, wait);
  }
}
