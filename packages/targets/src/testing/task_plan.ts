/** What the tasks of an attempt do on a modelled target, as their payload says. */
import {z} from 'zod';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {LeaseReport} from '../target_client.js';

/** Time after which every task fails on a target that fails them all. */
const BAD_TARGET_FAILURE_MS = 5;

/** Time in which a task saves its progress unless the payload says otherwise. */
const DEFAULT_CHECKPOINT_MS = 50;

/** The fields of a payload that modelled tasks obey; others are ignored. */
const taskPayload = z.object({
  durationMs: z.number().nonnegative().default(0),
  /** Run times by task index, where they differ. */
  durationsMs: z.record(z.string(), z.number().nonnegative()).default({}),
  /** True when every task fails at its end, or the index of the one that does. */
  fail: z.union([z.boolean(), z.int()]).default(false),
  /** Output of every task; its index when absent. */
  output: z.json().optional(),
  /** Processors that one task uses; what it reserved when absent. */
  usesProcessors: z.number().nonnegative().optional(),
  checkpointMs: z.number().nonnegative().default(DEFAULT_CHECKPOINT_MS),
});

/** When and how the tasks end. */
export interface TaskEnd {
  at: Instant;
  /** Index of the task that fails; absent when all succeed. */
  failedTask?: number;
}

/** The run of consecutive tasks on one target. */
export class TaskPlan {
  private readonly payload;

  constructor(
    payload: unknown,
    private readonly firstTask: number,
    private readonly tasks: number,
    private readonly failsEveryTask: boolean,
  ) {
    this.payload = taskPayload.parse(payload);
  }

  get usesProcessors(): number | undefined {
    return this.payload.usesProcessors;
  }

  get checkpointMs(): Milliseconds {
    return this.payload.checkpointMs;
  }

  /** The first failure, or the end of the last task. */
  findEnd(startedAt: Instant, resumedFromSeconds: number): TaskEnd {
    let last = startedAt;
    let failure: TaskEnd | undefined;
    for (const task of this.indexes()) {
      const remaining = this.durationOf(task) - resumedFromSeconds * 1000;
      const at = startedAt + this.clampDuration(remaining);
      last = Math.max(last, at);
      if (this.isFailing(task) && at < (failure?.at ?? Infinity)) {
        failure = {at, failedTask: task};
      }
    }
    return failure ?? {at: last};
  }

  createResults(): NonNullable<LeaseReport['results']> {
    return this.indexes().map(task => this.payload.output ?? task);
  }

  private indexes(): number[] {
    return Array.from({length: this.tasks}, (_, i) => this.firstTask + i);
  }

  private durationOf(task: number): Milliseconds {
    return this.payload.durationsMs[String(task)] ?? this.payload.durationMs;
  }

  private clampDuration(remaining: Milliseconds): Milliseconds {
    const duration = Math.max(0, remaining);
    return this.failsEveryTask
      ? Math.min(duration, BAD_TARGET_FAILURE_MS)
      : duration;
  }

  private isFailing(task: number): boolean {
    const {fail} = this.payload;
    return this.failsEveryTask || fail === true || fail === task;
  }
}
