/** The records that a writer has not heard the verdict of. */
import type {Instant} from '@galenavalve/shared';
import type {PendingRecord} from './pending_record.js';

/** Bounds of what waits and of one batch. */
export interface QueueLimits {
  /** Most records and bytes of one append. */
  batchRecords: number;
  batchBytes: number;
  /** Most records and bytes that wait; more are refused as overloaded. */
  queueRecords: number;
  queueBytes: number;
}

/** Records by id, in the order in which they are to be sent. */
export class PendingRecords {
  private readonly byId = new Map<string, PendingRecord>();
  private bytes = 0;
  /** Halved when the log rejects a batch, so that one bad record does not hold up others. */
  private batchLimit: number;

  constructor(private readonly limits: QueueLimits) {
    this.batchLimit = limits.batchRecords;
  }

  get size(): number {
    return this.byId.size;
  }

  hasCapacity(bytes: number): boolean {
    const {queueRecords, queueBytes} = this.limits;
    return this.size < queueRecords && this.bytes + bytes <= queueBytes;
  }

  get(recordId: string): PendingRecord | undefined {
    return this.byId.get(recordId);
  }

  /** All records; removing one meanwhile is allowed. */
  listAll(): Iterable<PendingRecord> {
    return this.byId.values();
  }

  add(item: PendingRecord): void {
    this.byId.set(item.record.recordId, item);
    this.bytes += item.bytes;
  }

  remove(item: PendingRecord): void {
    if (this.byId.delete(item.record.recordId)) {
      this.bytes -= item.bytes;
    }
  }

  /** The next records to send together; empty when none waits. */
  dequeueBatch(): PendingRecord[] {
    const batch: PendingRecord[] = [];
    let bytes = 0;
    for (const item of this.byId.values()) {
      if (item.stage !== 'queued') {
        continue;
      }
      bytes += item.bytes;
      const isFull =
        batch.length === this.batchLimit || bytes > this.limits.batchBytes;
      if (isFull && batch.length > 0) {
        break;
      }
      batch.push(item);
    }
    setStage(batch, 'sent');
    return batch;
  }

  /** The log has the batch. */
  markRecorded(batch: readonly PendingRecord[]): void {
    setStage(batch, 'recorded');
    this.batchLimit = Math.min(this.limits.batchRecords, this.batchLimit * 2);
  }

  /** The log certainly does not have the batch: it is sent again after what else waits. */
  markRejected(batch: readonly PendingRecord[]): void {
    setStage(batch, 'queued');
    this.batchLimit = Math.max(1, Math.floor(batch.length / 2));
    for (const item of batch) {
      if (this.byId.delete(item.record.recordId)) {
        this.byId.set(item.record.recordId, item);
      }
    }
  }

  /** The log may have the batch. */
  markUncertain(batch: readonly PendingRecord[], now: Instant): void {
    setStage(batch, 'uncertain');
    for (const item of batch) {
      item.hasUncertainAppend = true;
      item.uncertainAt = now;
    }
  }

  /**
   * Queues again what a read, sent at `freshAt` after the append without an
   * answer, did not show. The append may still take effect later: the fold
   * makes the second copy harmless.
   */
  requeueUncertain(freshAt: Instant): void {
    for (const item of this.byId.values()) {
      if (item.stage === 'uncertain' && freshAt > item.uncertainAt) {
        item.stage = 'queued';
      }
    }
  }
}

function setStage(
  batch: readonly PendingRecord[],
  stage: PendingRecord['stage'],
): void {
  for (const item of batch) {
    item.stage = stage;
  }
}
