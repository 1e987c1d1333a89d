/** The platform's instance list. The list lags behind the actual state of the cluster. */
import {z} from 'zod';
import {resourceName} from '@galenavalve/model';

/** Schema of an entry instance, which serves callers, or of a target in the list. */
export const listedInstance = z.strictObject({
  id: resourceName,
  domain: resourceName,
  role: z.enum(['entry', 'target']),
  state: z.enum(['live', 'leaving']),
  /** IP address at which an entry instance serves the peer protocol; absent for targets. */
  host: z.string().optional(),
  /** Port at which an entry instance serves the peer protocol; absent for targets. */
  port: z.int().optional(),
});
/** An entry instance or a target in the list. */
export type ListedInstance = z.infer<typeof listedInstance>;

/** Reads the instance list. */
export interface InstanceList {
  /** Returns the listed instances. Throws a `Failure` when the list cannot be read. */
  list(timeoutMs: number): Promise<ListedInstance[]>;
}
