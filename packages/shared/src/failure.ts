/** The typed error of the project. */
import {type ErrorCode, ERROR_TEMPLATES} from './error_codes.js';

/** Values named in the message of a failure. */
export type FailureDetails = Readonly<
  Record<string, string | number | boolean>
>;

/** The form of a failure in an HTTP body. */
export interface FailureBody {
  code: ErrorCode;
  message: string;
  remedy: string;
  details: FailureDetails;
}

/** An error with a code, a message that says what happened, and a remedy. */
export class Failure extends Error {
  /** What the reader can do about it. */
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

  /** HTTP status that belongs to the code. */
  get status(): number {
    return ERROR_TEMPLATES[this.code].status;
  }

  /** The form that is sent to callers. */
  toJSON(): FailureBody {
    return {
      code: this.code,
      message: this.message,
      remedy: this.remedy,
      details: this.details,
    };
  }
}

/** Tells whether `error` is a failure, and of the given code if one is given. */
export function isFailure(error: unknown, code?: ErrorCode): error is Failure {
  return error instanceof Failure && (!code || error.code === code);
}

/** The message of anything that was thrown. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function fillTemplate(template: string, details: FailureDetails): string {
  return template.replace(/\{(\w+)\}/g, (whole, name: string) =>
    name in details ? String(details[name]) : whole,
  );
}
