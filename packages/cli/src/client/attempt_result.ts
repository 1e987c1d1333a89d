/** What one attempt of a call tells about its fate. */
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
  /** The whole answer came. */
  | {kind: 'answered'; value: T}
  /** The instance refused for good; repeating changes nothing. */
  | {kind: 'refused'; failure: Failure}
  /** The instance says that this attempt did nothing. */
  | {kind: 'not-run'; failure: Failure; retryAfter?: Milliseconds}
  /** Nothing was sent. */
  | {kind: 'unsent'; problem: string}
  /** The attempt may have taken effect. */
  | {kind: 'uncertain'; problem: string};

/** Why a further attempt is needed; undefined when none is. */
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

/** Reads what `sendJson` threw. */
export function classifyError(error: unknown): AttemptResult<never> {
  if (!(error instanceof NoResponse)) {
    throw error;
  }
  const kind = error.wasSent ? 'uncertain' : 'unsent';
  return {kind, problem: error.message};
}

/**
 * Reads an answer. Only a body in the daemon's own form counts as its word: a
 * balancer's 503 may come after the request was recorded.
 */
export function classifyResponse<T>(
  answer: JsonResponse,
  schema: z.ZodType<T>,
): AttemptResult<T> {
  if (answer.status >= 200 && answer.status < 300) {
    return readSuccess(answer, schema);
  }
  const body = failureView.safeParse(answer.body);
  if (!body.success) {
    const problem = `an answer with status ${answer.status} that is not the daemon's`;
    return {kind: 'uncertain', problem};
  }
  return readFailure(body.data, answer);
}

function readSuccess<T>(
  answer: JsonResponse,
  schema: z.ZodType<T>,
): AttemptResult<T> {
  const parsed = schema.safeParse(answer.body);
  if (parsed.success) {
    return {kind: 'answered', value: parsed.data};
  }
  const issue = parsed.error.issues[0];
  const problem = `an answer that cannot be read: ${issue?.path.join('.')} ${issue?.message}`;
  return {kind: 'uncertain', problem};
}

function readFailure(
  {code, message, remedy, details}: FailureView,
  {status, retryAfterMs: retryAfter}: JsonResponse,
): AttemptResult<never> {
  const isClientError = status >= 400 && status < 500 && status !== 429;
  if (!isErrorCode(code)) {
    // Codes of a newer daemon: its refusal is believed, its "not run" is not.
    const problem = `${message} ${remedy}`.trim();
    return isClientError
      ? {kind: 'refused', failure: new Failure('bad-request', {problem})}
      : {kind: 'uncertain', problem};
  }
  if (isClientError) {
    return {kind: 'refused', failure: new Failure(code, details)};
  }
  if (status === 429 || status === 503) {
    return {kind: 'not-run', failure: new Failure(code, details), retryAfter};
  }
  return {kind: 'uncertain', problem: message};
}

function isErrorCode(code: string): code is ErrorCode {
  return Object.hasOwn(ERROR_TEMPLATES, code);
}
