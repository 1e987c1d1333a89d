/** The logger that packages write to; the daemon injects one that prints JSON lines. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line a call. `event` is a stable name, such as "placed". */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** A logger that writes nothing. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
