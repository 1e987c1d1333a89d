/** Terms: the fencing tokens of domain schedulers. */
import {z} from 'zod';

/**
 * The term of a domain's scheduler. The log raises `log`; while the log is
 * down a successor raises `outage`. Ties are broken by the instance id.
 */
export const term = z.strictObject({
  log: z.int().nonnegative(),
  outage: z.int().nonnegative().default(0),
  instance: z.string().max(100),
});
export type Term = z.infer<typeof term>;

/** Lower than every term that a scheduler holds. */
export const NO_TERM: Term = {log: 0, outage: 0, instance: ''};

/** Negative when `a` is lower than `b`, 0 when equal, positive when higher. */
export function compareTerms(a: Term, b: Term): number {
  if (a.log !== b.log) {
    return a.log - b.log;
  }
  if (a.outage !== b.outage) {
    return a.outage - b.outage;
  }
  return a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0;
}

/** Tells whether two terms are the same. */
export function isSameTerm(a: Term, b: Term): boolean {
  return compareTerms(a, b) === 0;
}
