/** Prints results, progress and errors. */
import {describeError, isFailure} from '@galenavalve/shared';

/** Writes text to a stream. */
export type Writer = (text: string) => unknown;

/**
 * Prints results to stdout, as text or JSON, and progress to stderr. Errors go
 * to stderr as text, or to stdout as JSON.
 */
export class Output {
  constructor(
    private readonly writeOut: Writer,
    private readonly writeError: Writer,
    readonly isJson: boolean,
  ) {}

  /** Prints a result as one JSON document, or as the text that `render` returns. */
  printResult<T>(value: T, render: (value: T) => string): void {
    const text = this.isJson ? JSON.stringify(value) : render(value);
    this.writeOut(`${text}\n`);
  }

  /** Prints a line of progress to stderr, also when results are printed as JSON. */
  printProgress(text: string): void {
    this.writeError(`${text}\n`);
  }

  /**
   * Prints an error with its remedy; as JSON, it is the field `error` of a
   * document on stdout.
   */
  printError(error: unknown): void {
    if (this.isJson) {
      const body = isFailure(error)
        ? error.toJSON()
        : {code: 'internal', message: describeError(error)};
      this.writeOut(`${JSON.stringify({error: body})}\n`);
      return;
    }
    this.writeError(`${describeError(error)}\n`);
    if (isFailure(error)) {
      this.writeError(`${error.remedy}\n`);
    }
  }
}
