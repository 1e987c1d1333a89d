/** Behavior of the tasks of an attempt on a target model, as their payload specifies it. */
import {z} from 'zod';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {LeaseReport} from '../target_client.js';

/** Run time of tasks on a target that fails every task. */
const FAILING_TARGET_TASK_MS = 5;

/** Time in which a task saves its progress unless the payload specifies another. */
const DEFAULT_CHECKPOINT_MS = 50;

/** The fields of a payload that the model uses; others are ignored. */
const taskPayload = z.object({
  durationMs: z.number().nonnegative().default(0),
  /** Run times by task index, where they differ. */
  durationsMs: z.record(z.string(), z.number().nonnegative()).default({}),
  /** True when every task fails at its end, or the index of the one that does. */
  fail: z.union([z.boolean(), z.int()]).default(false),
  /** Output of every task; the index of the task when absent. */
  output: z.json().optional(),
  /** Processors that one task uses; what it reserved when absent. */
  usesProcessors: z.number().nonnegative().optional(),
  checkpointMs: z.number().nonnegative().default(DEFAULT_CHECKPOINT_MS),
});

/** Time and outcome of the end of the tasks. */
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

  /** Finds the first failure, or the end of the last task when none fails. */
  findEnd(startedAt: Instant, resumedFromSeconds: number): TaskEnd {
    let last = startedAt;
    let failure: TaskEnd | undefined;
    for (const task of this.listTaskIndexes()) {
      const remaining = this.getDuration(task) - resumedFromSeconds * 1000;
      const at = startedAt + this.clampDuration(remaining);
      last = Math.max(last, at);
      if (this.isFailing(task) && at < (failure?.at ?? Infinity)) {
        failure = {at, failedTask: task};
      }
    }
    return failure ?? {at: last};
  }

  /** Creates the outputs of the tasks, in order. */
  createResults(): NonNullable<LeaseReport['results']> {
    return this.listTaskIndexes().map(task => this.payload.output ?? task);
  }

  private listTaskIndexes(): number[] {
    return Array.from({length: this.tasks}, (_, i) => this.firstTask + i);
  }

  private getDuration(task: number): Milliseconds {
    return this.payload.durationsMs[String(task)] ?? this.payload.durationMs;
  }

  private clampDuration(remaining: Milliseconds): Milliseconds {
    const duration = Math.max(0, remaining);
    return this.failsEveryTask
      ? Math.min(duration, FAILING_TARGET_TASK_MS)
      : duration;
  }

  private isFailing(task: number): boolean {
    const {fail} = this.payload;
    return this.failsEveryTask || fail === true || fail === task;
  }
}
