/** Where results, progress and errors go. */
import {describeError, isFailure} from '@galenavalve/shared';

/** Writes a text. */
export type Writer = (text: string) => unknown;

/** Writes results and errors to the standard output or error, as text or as JSON. */
export class Output {
  constructor(
    private readonly writeOut: Writer,
    private readonly writeError: Writer,
    readonly isJson: boolean,
  ) {}

  /** Prints a result: as one JSON document, or as `render` shows it to people. */
  printResult<T>(value: T, render: (value: T) => string): void {
    const text = this.isJson ? JSON.stringify(value) : render(value);
    this.writeOut(`${text}\n`);
  }

  /** Prints progress, for people. */
  printProgress(text: string): void {
    this.writeError(`${text}\n`);
  }

  /** Prints an error with its remedy. With JSON, the standard output holds it as `error`. */
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
