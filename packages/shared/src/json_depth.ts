/** Limits on the nesting depth of JSON. */

/**
 * Maximum nesting depth of JSON from callers and from the log. Schemas are
 * validated recursively, and the available stack depth differs between
 * processes, while all of them must accept or reject the same values.
 */
export const MAX_JSON_DEPTH = 64;

/** Maximum nesting depth of a request body; lower than `MAX_JSON_DEPTH`, since its record and its results nest it a few levels deeper. */
export const MAX_BODY_DEPTH = 48;

/** Returns whether arrays and objects are nested deeper than `limit`. */
export function isTooDeep(value: unknown, limit = MAX_JSON_DEPTH): boolean {
  if (typeof value !== 'object' || value === null) {
    return false;
  }
  return (
    limit === 0 || Object.values(value).some(item => isTooDeep(item, limit - 1))
  );
}
