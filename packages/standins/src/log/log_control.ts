/** Faults of the log stand-in as `POST /control` sets them. */
import {z} from 'zod';
import type {MemoryLog} from '@galenavalve/ledger';

/** Faults to set; those not named stay as they are. */
export const logControl = z.strictObject({
  /** Every request is refused, and nothing is written. */
  outage: z.boolean().optional(),
  /** No request is answered; connections stay open. */
  silent: z.boolean().optional(),
  /** Time that each append and each read takes, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** The connections of this many appends are cut after the append took effect. */
  loseAnswers: z.int().nonnegative().optional(),
  /** The connection of the next append is cut, and it takes effect this much later, in milliseconds. */
  delayedAppendMs: z.number().positive().optional(),
});
export type LogControl = z.infer<typeof logControl>;

/** Puts faults in force. */
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

function chooseOutage({
  outage,
  silent,
}: LogControl): MemoryLog['faults']['outage'] {
  if (silent) {
    return 'silent';
  }
  return outage ? 'refused' : 'none';
}
