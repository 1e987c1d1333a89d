/** Hashes, by the library of Node.js. */
import {createHash} from 'node:crypto';

/** SHA-256 of a text, in hexadecimal. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** SHA-256 of a JSON value whose object keys are sorted, so that equal values have equal hashes. */
export function hashValue(value: unknown): string {
  return hashText(JSON.stringify(sortKeys(value)));
}

/** Rendezvous hashing: the member with the highest hash for `key`; undefined when there are none. */
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
