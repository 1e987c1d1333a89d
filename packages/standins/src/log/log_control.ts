/** Faults of the log stand-in, set by `POST /control`. */
import {z} from 'zod';

/** Faults to set; those not named stay as they are. */
export const logFaults = z.strictObject({
  /** Every request is refused, and nothing is written. */
  outage: z.boolean().optional(),
  /** No request is answered; connections stay open. */
  silent: z.boolean().optional(),
  /** Answers are this late, in milliseconds, after the append took effect. */
  delayMs: z.number().nonnegative().optional(),
  /** The connections of this many appends are cut after the append took effect. */
  loseAnswers: z.int().nonnegative().optional(),
  /** Appends take effect this late, in milliseconds. */
  delayedAppendMs: z.number().nonnegative().optional(),
});
export type LogFaults = z.infer<typeof logFaults>;

/** The faults in force. */
export class LogControl {
  private faults: Required<LogFaults> = {
    outage: false,
    silent: false,
    delayMs: 0,
    loseAnswers: 0,
    delayedAppendMs: 0,
  };

  get current(): Readonly<Required<LogFaults>> {
    return this.faults;
  }

  set(faults: LogFaults): void {
    this.faults = {...this.faults, ...faults};
  }

  /** True if the answer that is about to be sent has to be lost. */
  takeLostAnswer(): boolean {
    if (this.faults.loseAnswers === 0) {
      return false;
    }
    this.faults.loseAnswers--;
    return true;
  }
}
