/** Validation of request bodies and queries. */
import type {z} from 'zod';
import {Failure, MAX_BODY_DEPTH, isTooDeep} from '@galenavalve/shared';

/** Returns the parsed value. Throws `bad-request`, which names the first invalid field. */
export function parseBody<T extends z.ZodType>(
  schema: T,
  body: unknown,
): z.infer<T> {
  if (isTooDeep(body, MAX_BODY_DEPTH)) {
    const problem = `the body is nested deeper than ${MAX_BODY_DEPTH} levels`;
    throw new Failure('bad-request', {problem});
  }
  const result = schema.safeParse(body);
  if (result.success) {
    return result.data;
  }
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') || 'body';
  throw new Failure('bad-request', {
    problem: `${field}: ${issue?.message ?? 'invalid'}`,
  });
}
