/** Faults of the target stand-in, set by `POST /control`. */
import {z} from 'zod';
import type {Clock} from '@galenavalve/shared';
import type {TargetModel} from '@galenavalve/targets';

/** A change of one target; settings not named stay as they are. */
export const targetControlChange = z.strictObject({
  target: z.string(),
  /** It has crashed: all tasks are gone and connections are closed. False brings it back, empty. */
  dead: z.boolean().optional(),
  /** No command takes effect or is answered; connections stay open. */
  silent: z.boolean().optional(),
  /** Commands take effect, but are not answered. */
  losesAnswers: z.boolean().optional(),
  /** Commands take effect this late, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** It says that it is leaving, and takes no new work. */
  leaving: z.boolean().optional(),
  /** It fails every task. */
  failsEveryTask: z.boolean().optional(),
});
export type TargetControlChange = z.infer<typeof targetControlChange>;

/** The faults of one target. */
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

/** The faults in force. */
export class TargetControl {
  private readonly faults = new Map<string, TargetServerFaults>();

  constructor(
    private readonly models: ReadonlyMap<string, TargetModel>,
    readonly clock: Clock,
  ) {}

  findModel(target: string): TargetModel | undefined {
    return this.models.get(target);
  }

  getFaults(target: string): TargetServerFaults {
    return this.faults.get(target) ?? NO_FAULTS;
  }

  /** Returns false when there is no such target. */
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
