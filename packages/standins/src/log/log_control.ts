/** Fault injection for the log stand-in, set by `POST /control`. */
import {z} from 'zod';
import type {MemoryLog} from '@galenavalve/ledger';

/** Faults to set; omitted ones keep their value. */
export const logControl = z.strictObject({
  /** True rejects every request; nothing is written. */
  outage: z.boolean().optional(),
  /** True leaves every request without a response and its connection open. */
  silent: z.boolean().optional(),
  /** Latency of each append and each read, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** Number of next appends whose connection is closed after the append took effect. */
  loseAnswers: z.int().nonnegative().optional(),
  /**
   * Closes the connection of the next append, which takes effect after this
   * delay, in milliseconds.
   */
  delayedAppendMs: z.number().positive().optional(),
});
/** Body of `POST /control` of the log stand-in. */
export type LogControl = z.infer<typeof logControl>;

/** Sets the faults of `log`. */
export function applyLogControl(
  {faults}: MemoryLog,
  control: LogControl,
): void {
  if (control.outage !== undefined || control.silent !== undefined) {
    faults.outage = chooseOutage(control);
  }
  faults.appendLatency = control.delayMs ?? faults.appendLatency;
  faults.readLatency = control.delayMs ?? faults.readLatency;
  faults.lostAnswers = control.loseAnswers ?? faults.lostAnswers;
  if (control.delayedAppendMs !== undefined) {
    faults.lateAppends = 1;
    faults.lateBy = control.delayedAppendMs;
  }
}

/** Returns the kind of outage; `silent` takes precedence over `outage`. */
function chooseOutage({
  outage,
  silent,
}: LogControl): MemoryLog['faults']['outage'] {
  if (silent) {
    return 'silent';
  }
  return outage ? 'refused' : 'none';
}
