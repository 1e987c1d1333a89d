/** Terms, the fencing tokens of the domains' schedulers. */
import {z} from 'zod';

/**
 * Term of a domain's scheduler. A claim in the log increments `log`; a takeover
 * while the log is unavailable increments `outage`. Ties are broken by the
 * instance id.
 */
export const term = z.strictObject({
  log: z.int().nonnegative(),
  outage: z.int().nonnegative().default(0),
  instance: z.string().max(100),
});
export type Term = z.infer<typeof term>;

/** Term that is lower than every term of a scheduler. */
export const NO_TERM: Term = {log: 0, outage: 0, instance: ''};

/** Returns a negative number if `a` is lower than `b`, 0 if they are equal, and a positive number if `a` is higher. */
export function compareTerms(a: Term, b: Term): number {
  if (a.log !== b.log) {
    return a.log - b.log;
  }
  if (a.outage !== b.outage) {
    return a.outage - b.outage;
  }
  return a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0;
}

/** Returns whether two terms, the fencing tokens of schedulers, are equal. */
export function isSameTerm(a: Term, b: Term): boolean {
  return compareTerms(a, b) === 0;
}
