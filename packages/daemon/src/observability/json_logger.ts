/** Logger that writes JSON lines, by winston. */
import {createLogger, format, transports} from 'winston';
import type {LogFields, Logger} from '@galenavalve/shared';

/** Creates a logger whose lines include the instance and its failure domain. Writes errors and warnings to stderr. */
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
  const write = (severity: string) => (event: string, fields?: LogFields) => {
    winston.log({level: severity, message: event, ...fields});
  };
  return {
    debug: write('debug'),
    info: write('info'),
    warn: write('warn'),
    error: write('error'),
  };
}
