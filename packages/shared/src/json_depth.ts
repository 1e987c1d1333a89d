/** A bound on how deeply JSON is nested. */

/**
 * Deepest JSON that is read from callers and from the log. Schemas are checked
 * by recursion, and how deep a stack reaches differs between processes, while
 * all of them have to reach the same verdict.
 */
export const MAX_JSON_DEPTH = 64;

/** Deepest JSON body of a request; its record and its results lie a few levels deeper. */
export const MAX_BODY_DEPTH = 48;

/** Tells whether arrays and objects are nested deeper than `limit`. */
export function isTooDeep(value: unknown, limit = MAX_JSON_DEPTH): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  return (
    limit === 0 || Object.values(value).some(item => isTooDeep(item, limit - 1))
  );
}
