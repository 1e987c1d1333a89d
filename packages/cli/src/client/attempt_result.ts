/** Classifies the result of one attempt of a call. */
import type {z} from 'zod';
import {failureView, type FailureView} from '@galenavalve/model';
import {type JsonResponse, NoResponse} from '@galenavalve/platform';
import {
  type ErrorCode,
  ERROR_TEMPLATES,
  Failure,
  type Milliseconds,
} from '@galenavalve/shared';

/** The result of one attempt. */
export type AttemptResult<T> =
  /** A complete response arrived. */
  | {kind: 'completed'; value: T}
  /** The instance refused the call; a retry would be refused as well. */
  | {kind: 'refused'; failure: Failure}
  /** The instance reported that this attempt had no effect. */
  | {kind: 'not-run'; failure: Failure; retryAfterMs?: Milliseconds}
  /** The request was not sent. */
  | {kind: 'unsent'; problem: string}
  /** The attempt may have taken effect. */
  | {kind: 'uncertain'; problem: string};

/** Returns the reason for which another attempt is needed; undefined if none is. */
export function findProblem(
  result: AttemptResult<unknown>,
): string | undefined {
  switch (result.kind) {
    case 'not-run':
      return result.failure.message;
    case 'unsent':
    case 'uncertain':
      return result.problem;
    default:
      return undefined;
  }
}

/** Classifies an error that `sendJson` threw; rethrows errors other than `NoResponse`. */
export function classifyError(error: unknown): AttemptResult<never> {
  if (!(error instanceof NoResponse)) {
    throw error;
  }
  const kind = error.wasSent ? 'uncertain' : 'unsent';
  return {kind, problem: error.message};
}

/**
 * Classifies a response. A refusal or "not run" counts only if its body has the
 * error format of the daemon: a load balancer may send a 503 after the request
 * was recorded.
 */
export function classifyResponse<T>(
  response: JsonResponse,
  schema: z.ZodType<T>,
): AttemptResult<T> {
  if (response.status >= 200 && response.status < 300) {
    return parseSuccess(response, schema);
  }
  const body = failureView.safeParse(response.body);
  if (!body.success) {
    const problem = `response with status ${response.status} is not in the error format of the daemon`;
    return {kind: 'uncertain', problem};
  }
  return parseFailure(body.data, response);
}

function parseSuccess<T>(
  response: JsonResponse,
  schema: z.ZodType<T>,
): AttemptResult<T> {
  const parsed = schema.safeParse(response.body);
  if (parsed.success) {
    return {kind: 'completed', value: parsed.data};
  }
  const issue = parsed.error.issues[0];
  const problem = `response does not match the schema: ${issue?.path.join('.')} ${issue?.message}`;
  return {kind: 'uncertain', problem};
}

function parseFailure(
  {code, message, remedy, details}: FailureView,
  {status, retryAfterMs}: JsonResponse,
): AttemptResult<never> {
  const isClientError = status >= 400 && status < 500 && status !== 429;
  if (!isErrorCode(code)) {
    // The daemon is newer and its code unknown: accept a refusal, but not a "not run".
    const problem = `${message} ${remedy}`.trim();
    return isClientError
      ? {kind: 'refused', failure: new Failure('bad-request', {problem})}
      : {kind: 'uncertain', problem};
  }
  if (isClientError) {
    return {kind: 'refused', failure: new Failure(code, details)};
  }
  if (status === 429 || status === 503) {
    return {kind: 'not-run', failure: new Failure(code, details), retryAfterMs};
  }
  return {kind: 'uncertain', problem: message};
}

function isErrorCode(code: string): code is ErrorCode {
  return Object.hasOwn(ERROR_TEMPLATES, code);
}
