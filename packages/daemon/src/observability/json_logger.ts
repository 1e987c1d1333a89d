/** Log lines as JSON, by winston. */
import {createLogger, format, transports} from 'winston';
import type {LogFields, Logger} from '@galenavalve/shared';

/** Creates a logger whose lines carry the instance and its failure domain. */
export function createJsonLogger(
  level: string,
  instance: string,
  domain: string,
): Logger {
  const winston = createLogger({
    level,
    defaultMeta: {instance, domain},
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Console({stderrLevels: ['error', 'warn']})],
  });
  const write = (lineLevel: string) => (event: string, fields?: LogFields) => {
    winston.log({level: lineLevel, message: event, ...fields});
  };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}
