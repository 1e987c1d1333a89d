/** A short name for a set of leases, equal on both sides when the sets are. */
import {hashText} from '@galenavalve/shared';

/** Length of a digest in characters. */
const DIGEST_LENGTH = 16;

/** The digest of leases by their key texts, in whatever order. */
export function computeLeaseDigest(keys: readonly string[]): string {
  return hashText([...keys].sort().join(' ')).slice(0, DIGEST_LENGTH);
}
