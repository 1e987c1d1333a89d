/** Logger interface of the packages; the daemon injects an implementation that prints JSON lines. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured logger that writes one line per call. `event` is a stable name, such as "placed". */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Logger that discards all lines. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
