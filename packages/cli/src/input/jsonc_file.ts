/** Reads files in JSON with comments and validates values against schemas. */
import {readFileSync} from 'node:fs';
import {
  parse,
  type ParseError,
  type ParseOptions,
  printParseErrorCode,
} from 'jsonc-parser';
import type {z} from 'zod';
import {describeError, Failure} from '@galenavalve/shared';

/** File name that stands for stdin. */
const STDIN_FILE_NAME = '-';
const STDIN_FILE_DESCRIPTOR = 0;

const PARSE_OPTIONS: ParseOptions = {allowTrailingComma: true};

/**
 * Reads a file in JSON with comments. Throws `settings-invalid` when it cannot
 * be read or parsed.
 */
export function readJsonc(file: string): unknown {
  return parseJsonc(readText(file), file);
}

/**
 * Parses JSON with comments. Throws `settings-invalid`, in which `file` names
 * the source of the text.
 */
export function parseJsonc(text: string, file: string): unknown {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, PARSE_OPTIONS);
  const error = errors[0];
  if (error) {
    const line = text.slice(0, error.offset).split('\n').length;
    throw new Failure('settings-invalid', {
      file,
      key: `line ${line}`,
      problem: printParseErrorCode(error.error),
      remedy: 'use valid JSON; comments and trailing commas are allowed',
    });
  }
  return value;
}

/** Validates a value of a file. Throws `settings-invalid`, which names the first invalid key. */
export function checkValue<T>(
  schema: z.ZodType<T>,
  value: unknown,
  file: string,
): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }
  const issue = parsed.error.issues[0];
  throw new Failure('settings-invalid', {
    file,
    key: issue?.path.join('.') || 'the whole file',
    problem: issue?.message ?? 'not valid',
    remedy: 'set the key to a valid value, or remove it',
  });
}

function readText(file: string): string {
  try {
    const source = file === STDIN_FILE_NAME ? STDIN_FILE_DESCRIPTOR : file;
    return readFileSync(source, 'utf8');
  } catch (error) {
    // The code covers every file that the tool reads. The problem concerns the
    // file as a whole, so `key` does not name one of its keys.
    throw new Failure('settings-invalid', {
      file,
      key: 'the file',
      problem: describeError(error),
      remedy: 'pass the path of a readable file',
    });
  }
}
