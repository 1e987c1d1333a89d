/** Typed error with a code. */
import {type ErrorCode, ERROR_TEMPLATES} from './error_codes.js';

/** Values of the placeholders in a failure's message and remedy. */
export type FailureDetails = Readonly<
  Record<string, string | number | boolean>
>;

/** Representation of a failure in an HTTP body. */
export interface FailureBody {
  code: ErrorCode;
  message: string;
  remedy: string;
  details: FailureDetails;
}

/** Error with a code, a message that describes what happened, and a remedy. */
export class Failure extends Error {
  /** Action that resolves the error. */
  readonly remedy: string;

  constructor(
    readonly code: ErrorCode,
    readonly details: FailureDetails = {},
    options?: ErrorOptions,
  ) {
    const template = ERROR_TEMPLATES[code];
    super(fillTemplate(template.message, details), options);
    this.name = 'Failure';
    this.remedy = fillTemplate(template.remedy, details);
  }

  /** HTTP status of the error code. */
  get status(): number {
    return ERROR_TEMPLATES[this.code].status;
  }

  /** Returns the representation that is sent to callers. */
  toJSON(): FailureBody {
    return {
      code: this.code,
      message: this.message,
      remedy: this.remedy,
      details: this.details,
    };
  }
}

/** Returns whether `error` is a failure and, if `code` is given, has that code. */
export function isFailure(error: unknown, code?: ErrorCode): error is Failure {
  return error instanceof Failure && (!code || error.code === code);
}

/** Returns the message of a thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Replaces `{name}` by the detail of that name; a placeholder without a detail stays. */
function fillTemplate(template: string, details: FailureDetails): string {
  return template.replace(/\{(\w+)\}/g, (placeholder, name: string) =>
    name in details ? String(details[name]) : placeholder,
  );
}
