/** The platform's list of instances. It lags behind what happens. */
import {z} from 'zod';
import {resourceName} from '@galenavalve/model';

/** An entry instance or a target as the platform lists it. */
export const listedInstance = z.strictObject({
  id: resourceName,
  domain: resourceName,
  role: z.enum(['entry', 'target']),
  state: z.enum(['live', 'leaving']),
  /** IP number and port of the peer protocol; only for entry instances. */
  host: z.string().optional(),
  port: z.int().optional(),
});
export type ListedInstance = z.infer<typeof listedInstance>;

/** The list of instances. Throws a `Failure` when it cannot be read. */
export interface InstanceList {
  list(timeoutMs: number): Promise<ListedInstance[]>;
}
