/** Files in JSON with comments, checked by schema. */
import {readFileSync} from 'node:fs';
import {
  parse,
  type ParseError,
  type ParseOptions,
  printParseErrorCode,
} from 'jsonc-parser';
import type {z} from 'zod';
import {describeError, Failure} from '@galenavalve/shared';

/** File name that stands for the standard input. */
const STANDARD_INPUT = '-';
const STANDARD_INPUT_DESCRIPTOR = 0;

const parseOptions: ParseOptions = {allowTrailingComma: true};

/** Reads a file as JSON with comments. Throws `settings-invalid`. */
export function readJsonc(file: string): unknown {
  return parseJsonc(readText(file), file);
}

/** Parses JSON with comments. `file` names the text in errors. */
export function parseJsonc(text: string, file: string): unknown {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, parseOptions);
  const error = errors[0];
  if (error) {
    const line = text.slice(0, error.offset).split('\n').length;
    throw new Failure('settings-invalid', {
      file,
      key: `line ${line}`,
      problem: printParseErrorCode(error.error),
      remedy: 'it has to be JSON; comments and trailing commas are allowed',
    });
  }
  return value;
}

/** Checks a value of a file. Throws `settings-invalid` that names the first wrong key. */
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
    remedy: 'give the named key a value of the stated form, or remove it',
  });
}

function readText(file: string): string {
  try {
    const source = file === STANDARD_INPUT ? STANDARD_INPUT_DESCRIPTOR : file;
    return readFileSync(source, 'utf8');
  } catch (error) {
    throw new Failure('settings-invalid', {
      file,
      key: 'the file',
      problem: describeError(error),
      remedy: 'give the path of a file that can be read',
    });
  }
}
