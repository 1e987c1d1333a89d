/** Bodies of the targets' HTTP protocol. Orders and answers are those of the targets package. */
import {z} from 'zod';
import {leaseKey, leaseReport} from '@galenavalve/targets';
import {term} from '@galenavalve/model';

/** The body of `POST .../v1/fence`. */
export const fenceOrder = z.strictObject({term});

/** The body of `POST .../v1/throttle`. */
export const throttleOrder = z.strictObject({
  ...leaseKey.shape,
  term,
  processors: z.number().nonnegative(),
});

/** The answer to a stop; without a report when the target knows nothing of the attempt. */
export const stopResponse = z.object({report: leaseReport.optional()});

/** The answer to a command that has nothing to tell. */
export const emptyResponse = z.object({});

/** Status with which a target refuses an order. */
export const REFUSED_STATUS = 409;

/** The body of a refusal: the target did not do what it was told. */
export const targetRefusal = z.object({refused: z.string().min(1).max(500)});
