/** Appends of many callers as few calls: while one is under way, later ones gather and go together. */
import type {Fencing, OfficeAppend} from '@galenavalve/dispatch';
import type {AppendOutcome} from '@galenavalve/gateway';
import type {Clock, Instant, Milliseconds} from '@galenavalve/shared';
import type {KeyedRecord, NewestPage, TailPage} from '@galenavalve/workload';
import type {SharedLog} from './peer_port.js';

/** Records of one append, in characters; the platform limits a call to 2 MiB. */
const MAX_LENGTH = 500_000;

interface WaitingAppend {
  records: readonly KeyedRecord[];
  until: Instant;
  settle: (outcome: AppendOutcome) => void;
}

/** A log whose appends without an epoch are gathered; everything else goes on as it comes. */
export class GatheredLog implements SharedLog {
  private waiting: WaitingAppend[] = [];
  private isAppending = false;

  constructor(
    private readonly log: SharedLog,
    private readonly clock: Clock,
  ) {}

  append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<AppendOutcome> {
    const until = this.clock.now() + timeout;
    return new Promise(settle => {
      this.waiting.push({records, until, settle});
      if (!this.isAppending) {
        void this.appendAll();
      }
    });
  }

  appendAs(
    fencing: Fencing,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<OfficeAppend> {
    return this.log.appendAs(fencing, records, timeout);
  }

  newest(after: string | undefined): Promise<NewestPage> {
    return this.log.newest(after);
  }

  tail(offset: number, wait: Milliseconds): Promise<TailPage> {
    return this.log.tail(offset, wait);
  }

  private async appendAll(): Promise<void> {
    this.isAppending = true;
    while (this.waiting.length > 0) {
      const batch = this.takeBatch(this.clock.now());
      if (batch.length > 0) {
        await this.appendBatch(batch);
      }
    }
    this.isAppending = false;
  }

  /** Callers whose time is over are told so: their records were not appended. */
  private takeBatch(now: Instant): WaitingAppend[] {
    const batch: WaitingAppend[] = [];
    let length = 0;
    while (this.waiting.length > 0 && length < MAX_LENGTH) {
      const next = this.waiting.shift()!;
      if (next.until <= now) {
        const problem = 'others were appended until its time was over';
        next.settle({kind: 'refused', problem});
        continue;
      }
      batch.push(next);
      length += next.records.reduce((sum, each) => sum + each.value.length, 0);
    }
    return batch;
  }

  private async appendBatch(batch: readonly WaitingAppend[]): Promise<void> {
    const records = batch.flatMap(each => each.records);
    const until = Math.max(...batch.map(each => each.until));
    const timeout = until - this.clock.now();
    const outcome = await this.log.append(records, timeout);
    let index = 0;
    for (const each of batch) {
      each.settle(
        outcome.kind === 'appended'
          ? {kind: 'appended', offset: outcome.offset + index}
          : outcome,
      );
      index += each.records.length;
    }
  }
}
