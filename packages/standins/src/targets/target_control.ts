/** Fault injection for the target stand-in, set by `POST /control`. */
import {z} from 'zod';
import type {Clock} from '@galenavalve/shared';
import type {TargetModel} from '@galenavalve/targets';

/** Change of one target's faults; omitted settings keep their value. */
export const targetControlChange = z.strictObject({
  /** Id of the target. */
  target: z.string(),
  /**
   * True crashes the target: its tasks are lost and requests to it are closed
   * without a response. False restarts it without tasks.
   */
  dead: z.boolean().optional(),
  /** True ignores commands: they have no effect and no response, and connections stay open. */
  silent: z.boolean().optional(),
  /** True withholds the response of commands, which still take effect. */
  losesAnswers: z.boolean().optional(),
  /** Delay before a command takes effect, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** True makes the target report that it is leaving and accept no new work. */
  leaving: z.boolean().optional(),
  /** True makes every task on the target fail. */
  failsEveryTask: z.boolean().optional(),
});
/** Body of `POST /control` of the target stand-in. */
export type TargetControlChange = z.infer<typeof targetControlChange>;

/** Faults that the server injects into requests to one target. */
export interface TargetServerFaults {
  dead: boolean;
  silent: boolean;
  losesAnswers: boolean;
  delayMs: number;
}

const NO_FAULTS: TargetServerFaults = {
  dead: false,
  silent: false,
  losesAnswers: false,
  delayMs: 0,
};

/** Faults in force, by target. */
export class TargetControl {
  private readonly faults = new Map<string, TargetServerFaults>();

  constructor(
    private readonly models: ReadonlyMap<string, TargetModel>,
    readonly clock: Clock,
  ) {}

  /** Returns the model of a target, or undefined when there is none. */
  findModel(target: string): TargetModel | undefined {
    return this.models.get(target);
  }

  /** Returns the faults of a target; none of them when it is unknown. */
  getFaults(target: string): TargetServerFaults {
    return this.faults.get(target) ?? NO_FAULTS;
  }

  /** Applies a change. Returns false when there is no such target. */
  applyChange(change: TargetControlChange): boolean {
    const {target, leaving, failsEveryTask, ...faults} = change;
    const model = this.models.get(target);
    if (!model) {
      return false;
    }
    if (faults.dead && !this.getFaults(target).dead) {
      model.restart(this.clock.now());
    }
    model.leaving = leaving ?? model.leaving;
    if (failsEveryTask !== undefined) {
      model.behavior = failsEveryTask ? 'fails-every-task' : 'well';
    }
    this.faults.set(target, {...this.getFaults(target), ...faults});
    return true;
  }
}
