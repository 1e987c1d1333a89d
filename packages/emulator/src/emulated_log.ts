/** In-memory emulation of the platform's job log in virtual time, with fault injection. */
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

/** Response time of a request; the platform specifies 4 ms. */
const RESPONSE_TIME_MS = 4;

/** Time for which one append occupies the partition, which executes appends one at a time; set by the platform. */
const APPEND_SERVICE_TIME_MS = 2;

/** Appends that would queue for longer than this are refused, as the platform does. */
const MAX_APPEND_WAIT_MS = 2000;

/** Timeout of a read from an offset, beyond the time that it waits for records. */
const READ_TIMEOUT_MS = 1000;

/** Interval at which a waiting read checks for new records. */
const TAIL_CHECK_INTERVAL_MS = 5;

/** Upper bound of the delay of a late append; the platform states that it can take seconds. */
const MAX_LATE_APPEND_DELAY_MS = 6000;

/** Number of latest appends of an epoch among which a repeated sequence number is recognized. */
const MAX_REMEMBERED_APPENDS = 5;

/** Maximum size of a record, and of the records of one append, in bytes; set by the platform. */
const MAX_RECORD_BYTES = 262_144;
const MAX_APPEND_BYTES = 2_097_152;

/** Size of the length field of a record, and of that of its key. */
const LENGTH_BYTES = 4;
const KEY_LENGTH_BYTES = 1;

/** Injectable faults of the log. */
export interface LogFaults {
  /** Names of instances whose requests time out; `all` matches every instance. */
  silentTo: Set<string>;
  /** Names of instances whose requests are refused at once; `all` matches every instance. */
  busyTo: Set<string>;
  /** Share of appends, from 0 to 1, that are executed but whose response is lost. */
  lostAnswers: number;
  /** Share, from 0 to 1, of the appends with a lost response that are executed seconds later. */
  lateAppends: number;
  /** Factor by which responses and appends take longer. */
  slowness: number;
  /** Offset of the first record that reads do not return, as if it had not been appended; undefined if they return all. */
  hiddenFrom?: number;
  /** Longest time, in milliseconds, from when a page of a read from an offset is made until it arrives. */
  pageDelay: Milliseconds;
}

/** Highest epoch seen, with its latest appends for deduplication. */
interface Fence {
  epoch: number;
  appends: Array<{sequence: number; offset: number}>;
}

/** Conditions of an append. */
interface AppendCondition {
  fencing?: FencingToken;
  /** Offset at which the log must end. */
  endsAt?: number;
}

/** One keyed partition of the log. */
export class EmulatedLog {
  readonly faults: LogFaults = {
    silentTo: new Set(),
    busyTo: new Set(),
    lostAnswers: 0,
    lateAppends: 0,
    slowness: 1,
    pageDelay: 0,
  };
  private records: StoredRecord[] = [];
  private oldestOffset = 0;
  private fence?: Fence;
  /** Time at which all appends received so far have been executed. */
  private appendQueueEndsAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Returns a client for one instance, subject to the faults of that instance. */
  createClient(instance: string): SharedLog {
    return new LogClient(this, instance);
  }

  /** Expires all offsets up to the end; the newest record of each key stays readable through `readNewestFor`. */
  compact(): void {
    this.oldestOffset = this.end;
  }

  /** Offset of the next record. */
  get end(): number {
    return this.records.length;
  }

  /** Every record ever appended, including expired ones, for invariant checks. */
  get history(): readonly StoredRecord[] {
    return this.records;
  }

  /** Whether a key was written and not deleted. */
  isStored(key: string): boolean {
    return hasValue(this.records, key);
  }

  /** Whether reads return a value of a key: the same, as far as records are not hidden. */
  isReadable(key: string): boolean {
    return hasValue(this.records.slice(0, this.visibleEnd), key);
  }

  /** Appends a record without latency or faults, as an operator would, and returns its offset. */
  put(record: KeyedRecord): number {
    return this.storeRecords([record]);
  }

  /**
   * Appends records on behalf of an instance, with latency and faults.
   * The outcome is `unknown` when the response does not come within `timeout`; the append may still be executed.
   */
  async appendFor(
    instance: string,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
    condition: AppendCondition = {},
  ): Promise<FencedAppendOutcome> {
    if (!isWithinLimits(records)) {
      await this.clock.sleep(RESPONSE_TIME_MS);
      return {kind: 'refused', problem: 'too large'};
    }
    const {lostAnswers, lateAppends, slowness} = this.faults;
    const waiting = Math.max(0, this.appendQueueEndsAt - this.clock.now());
    if (waiting > MAX_APPEND_WAIT_MS) {
      return {kind: 'refused', problem: 'busy'};
    }
    const responseTime = RESPONSE_TIME_MS * slowness + waiting;
    this.appendQueueEndsAt =
      this.clock.now() + waiting + APPEND_SERVICE_TIME_MS * slowness;
    if (responseTime > timeout && !this.isSilentTo(instance)) {
      // The append is still executed after the caller has timed out.
      void this.clock
        .sleep(responseTime)
        .then(() => this.applyAppend(records, condition));
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no response'};
    }
    await this.clock.sleep(waiting);
    const problem = await this.sendRequest(instance, timeout);
    if (problem) {
      return problem;
    }
    if (this.random.next() < lostAnswers) {
      const isLate = this.random.next() < lateAppends;
      const delay = isLate ? this.random.next() * MAX_LATE_APPEND_DELAY_MS : 0;
      void this.clock
        .sleep(delay)
        .then(() => this.applyAppend(records, condition));
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no response'};
    }
    return this.applyAppend(records, condition);
  }

  /** Returns the newest record of each key; throws when the log refuses or does not respond. */
  async readNewestFor(instance: string): Promise<NewestPage> {
    await this.sendRequestOrThrow(instance, 1000);
    const newest = new Map<string, StoredRecord>();
    for (const record of this.records) {
      newest.delete(record.key);
      if (record.value !== '') {
        newest.set(record.key, record);
      }
    }
    return {records: [...newest.values()], end: this.end};
  }

  /**
   * Returns the records from `offset` on and waits up to `wait` for the first one.
   * Throws when the log refuses or does not respond.
   */
  async readTailFor(
    instance: string,
    offset: number,
    wait: Milliseconds,
  ): Promise<TailPage> {
    await this.sendRequestOrThrow(instance, wait + READ_TIMEOUT_MS);
    const until = this.clock.now() + wait;
    while (this.visibleEnd <= offset && this.clock.now() < until) {
      await this.clock.sleep(TAIL_CHECK_INTERVAL_MS);
      if (this.isSilentTo(instance)) {
        await this.clock.sleep(READ_TIMEOUT_MS);
        throw new Error('no response');
      }
    }
    if (offset < this.oldestOffset) {
      return {kind: 'expired'};
    }
    const end = this.visibleEnd;
    const records = this.records.slice(offset, end);
    await this.delayPage();
    return {kind: 'records', records, next: Math.max(offset, end), end};
  }

  /** Waits while a page is on its way; throws when it does not arrive within the timeout of a read. */
  private async delayPage(): Promise<void> {
    const {pageDelay} = this.faults;
    if (pageDelay > 0) {
      const delay = this.random.next() * pageDelay;
      await this.clock.sleep(Math.min(delay, READ_TIMEOUT_MS));
      if (delay > READ_TIMEOUT_MS) {
        throw new Error('no response');
      }
    }
  }

  /** Offset after the last record that reads return. */
  private get visibleEnd(): number {
    return Math.min(this.end, this.faults.hiddenFrom ?? Infinity);
  }

  /** Executes an append, with the platform's fencing by epoch and deduplication by sequence number. */
  private applyAppend(
    records: readonly KeyedRecord[],
    {fencing, endsAt}: AppendCondition,
  ): FencedAppendOutcome {
    if (endsAt !== undefined && endsAt !== this.end) {
      return {kind: 'moved'};
    }
    if (!fencing) {
      return {kind: 'appended', offset: this.storeRecords(records)};
    }
    const {epoch, sequence} = fencing;
    if (!this.fence || epoch > this.fence.epoch) {
      this.fence = {epoch, appends: []};
    } else if (epoch < this.fence.epoch) {
      return {kind: 'fenced'};
    }
    const {appends} = this.fence;
    const repeated = appends.find(append => append.sequence === sequence);
    if (repeated) {
      return {kind: 'appended', offset: repeated.offset};
    }
    const last = appends.at(-1)?.sequence;
    if (last !== undefined && sequence !== last + 1) {
      return {kind: 'fenced'};
    }
    const offset = this.storeRecords(records);
    appends.push({sequence, offset});
    this.fence.appends = appends.slice(-MAX_REMEMBERED_APPENDS);
    return {kind: 'appended', offset};
  }

  /** Stores records and returns the offset of the first. */
  private storeRecords(records: readonly KeyedRecord[]): number {
    const offset = this.end;
    for (const record of records) {
      this.records.push({...record, offset: this.end});
    }
    return offset;
  }

  /** Waits for the response time; returns an outcome if the request fails. */
  private async sendRequest(
    instance: string,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome | undefined> {
    await this.clock.sleep(RESPONSE_TIME_MS * this.faults.slowness);
    if (this.isSilentTo(instance)) {
      await this.clock.sleep(timeout);
      return {kind: 'unknown', problem: 'no response'};
    }
    return this.faults.busyTo.has(instance) || this.faults.busyTo.has('all')
      ? {kind: 'refused', problem: 'busy'}
      : undefined;
  }

  private async sendRequestOrThrow(
    instance: string,
    timeout: Milliseconds,
  ): Promise<void> {
    const problem = await this.sendRequest(instance, timeout);
    if (problem) {
      throw new Error(problem.kind);
    }
  }

  private isSilentTo(instance: string): boolean {
    const {silentTo} = this.faults;
    return silentTo.has(instance) || silentTo.has('all');
  }
}

function hasValue(records: readonly StoredRecord[], key: string): boolean {
  const newest = records.findLast(record => record.key === key);
  return newest !== undefined && newest.value !== '';
}

/** The log as one instance accesses it. */
class LogClient implements SharedLog {
  constructor(
    private readonly log: EmulatedLog,
    private readonly instance: string,
  ) {}

  async append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
    endsAt?: number,
  ): Promise<AppendOutcome> {
    return toUnfencedOutcome(
      await this.log.appendFor(this.instance, records, timeout, {endsAt}),
    );
  }

  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome> {
    const {endsAt} = fencing;
    const condition = {fencing, endsAt};
    return this.log.appendFor(this.instance, records, timeout, condition);
  }

  readNewest(): Promise<NewestPage> {
    return this.log.readNewestFor(this.instance);
  }

  readTail(offset: number, wait: Milliseconds): Promise<TailPage> {
    return this.log.readTailFor(this.instance, offset, wait);
  }
}

function isWithinLimits(records: readonly KeyedRecord[]): boolean {
  const sizes = records.map(
    ({key, value}) =>
      Buffer.byteLength(key) + Buffer.byteLength(value) + KEY_LENGTH_BYTES,
  );
  const total = sizes.reduce((sum, size) => sum + size + LENGTH_BYTES, 0);
  return (
    total <= MAX_APPEND_BYTES && sizes.every(size => size <= MAX_RECORD_BYTES)
  );
}
