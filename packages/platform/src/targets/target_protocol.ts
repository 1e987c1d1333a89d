/** Bodies of the targets' HTTP protocol that the targets package does not define. */
import {z} from 'zod';
import {leaseKey, leaseReport} from '@galenavalve/targets';
import {term} from '@galenavalve/model';

/** Body of `POST .../v1/fence`. */
export const fenceOrder = z.strictObject({term});

/** Body of `POST .../v1/throttle`. */
export const throttleOrder = z.strictObject({
  ...leaseKey.shape,
  term,
  processors: z.number().nonnegative(),
});

/** Response to a stop; without a report when the target does not know the attempt. */
export const stopResponse = z.object({report: leaseReport.optional()});

/** Response to a command without a result. */
export const emptyResponse = z.object({});

/** HTTP status with which a target refuses a command. */
export const REFUSED_STATUS = 409;

/** Response to a refused command, which the target did not execute. */
export const targetRefusal = z.object({refused: z.string().min(1).max(500)});
