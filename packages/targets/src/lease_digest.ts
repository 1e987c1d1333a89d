/**
 * Digest of a set of leases, with which a scheduler and a target check that
 * they have the same set.
 */
import {hashText} from '@galenavalve/shared';

/** Length of a digest in characters. */
const DIGEST_LENGTH = 16;

/** Computes the digest of leases from their formatted keys; their order does not matter. */
export function computeLeaseDigest(keys: readonly string[]): string {
  return hashText([...keys].sort().join(' ')).slice(0, DIGEST_LENGTH);
}
