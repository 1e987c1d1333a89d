/** The records of a writer whose fold results are pending. */
import type {Instant} from '@galenavalve/shared';
import type {PendingRecord} from './pending_record.js';

/** Limits of the pending records and of one batch. */
export interface QueueLimits {
  /** Largest number of records of one append, and their largest total size as JSON. */
  batchRecords: number;
  batchBytes: number;
  /**
   * Largest number of pending records and their largest total size; more are
   * rejected as `overloaded`.
   */
  queueRecords: number;
  queueBytes: number;
}

/** Stores pending records by id, in the order in which they are sent. */
export class PendingRecords {
  private readonly byId = new Map<string, PendingRecord>();
  private totalBytes = 0;
  /**
   * Current limit of records per batch. It is halved when the log rejects a
   * batch, so that one bad record does not block others.
   */
  private batchLimit: number;

  constructor(private readonly limits: QueueLimits) {
    this.batchLimit = limits.batchRecords;
  }

  get size(): number {
    return this.byId.size;
  }

  hasCapacity(bytes: number): boolean {
    const {queueRecords, queueBytes} = this.limits;
    return this.size < queueRecords && this.totalBytes + bytes <= queueBytes;
  }

  get(recordId: string): PendingRecord | undefined {
    return this.byId.get(recordId);
  }

  /** Lists all records. Records may be removed during the iteration. */
  listAll(): Iterable<PendingRecord> {
    return this.byId.values();
  }

  add(item: PendingRecord): void {
    this.byId.set(item.record.recordId, item);
    this.totalBytes += item.bytes;
  }

  remove(item: PendingRecord): void {
    if (this.byId.delete(item.record.recordId)) {
      this.totalBytes -= item.bytes;
    }
  }

  /** Marks the records of the next batch as sent and returns them; empty when none is queued. */
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

  /** Marks a batch that the log has appended. */
  markRecorded(batch: readonly PendingRecord[]): void {
    setStage(batch, 'recorded');
    this.batchLimit = Math.min(this.limits.batchRecords, this.batchLimit * 2);
  }

  /** Requeues a batch that the log did not append, behind the other queued records. */
  markRejected(batch: readonly PendingRecord[]): void {
    setStage(batch, 'queued');
    this.batchLimit = Math.max(1, Math.floor(batch.length / 2));
    for (const item of batch) {
      if (this.byId.delete(item.record.recordId)) {
        this.byId.set(item.record.recordId, item);
      }
    }
  }

  /** Marks a batch that the log may have appended. */
  markUncertain(batch: readonly PendingRecord[], now: Instant): void {
    setStage(batch, 'uncertain');
    for (const item of batch) {
      item.hasUncertainAppend = true;
      item.uncertainAt = now;
    }
  }

  /**
   * Requeues the records that are still uncertain although a read to the end of
   * the log was sent at `freshAt`, after the uncertain append. That append may
   * still take effect later; the fold ignores the second copy.
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
