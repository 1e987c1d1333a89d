/** Hash functions, based on the crypto module of Node.js. */
import {createHash} from 'node:crypto';

/** Returns the SHA-256 hash of a text in hexadecimal. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Returns the SHA-256 hash of a JSON value with sorted object keys, so that equal values have equal hashes. */
export function hashValue(value: unknown): string {
  return hashText(JSON.stringify(sortKeys(value)));
}

/** Returns the member with the highest hash for `key` (rendezvous hashing), so that a change of members moves few keys; undefined without members. */
export function chooseByRendezvous(
  key: string,
  members: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestScore = '';
  for (const member of members) {
    const score = hashText(`${key} ${member}`);
    if (best === undefined || score > bestScore) {
      best = member;
      bestScore = score;
    }
  }
  return best;
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys);
  }
  if (value === null || typeof value !== 'object') {
    return value;
  }
  const entries = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, item]) => [key, sortKeys(item)] as const);
  return Object.fromEntries(entries);
}
