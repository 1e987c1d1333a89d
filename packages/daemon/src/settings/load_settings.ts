/** Reads and validates the settings file. */
import {readFileSync} from 'node:fs';
import {type ParseError, parse, printParseErrorCode} from 'jsonc-parser';
import type {z} from 'zod';
import {Failure, describeError} from '@galenavalve/shared';
import {type Settings, settings} from './settings.js';

/** Reads and parses `file`. Throws `settings-invalid`, which names the key, the file and the remedy. */
export function loadSettings(file: string): Settings {
  return parseSettings(readText(file), file);
}

/** Parses the text of a settings file. `file` is its name in errors. Throws `settings-invalid`. */
export function parseSettings(text: string, file: string): Settings {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const first = errors[0];
  if (first) {
    throw new Failure('settings-invalid', {
      file,
      key: `line ${getLineNumber(text, first.offset)}`,
      problem: `invalid JSON with comments (${printParseErrorCode(first.error)})`,
      remedy: 'fix the syntax error in that line',
    });
  }
  const result = settings.safeParse(value);
  if (!result.success) {
    throw createIssueFailure(file, result.error.issues);
  }
  return result.data;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new Failure('settings-invalid', {
      file,
      key: 'file',
      problem: `the file cannot be read (${describeError(error)})`,
      remedy: 'pass a settings file that exists and is readable',
    });
  }
}

function createIssueFailure(file: string, issues: z.core.$ZodIssue[]): Failure {
  const issue = issues[0];
  const path = issue?.path.join('.') ?? '';
  if (issue?.code === 'unrecognized_keys') {
    const key = [path, issue.keys[0]].filter(Boolean).join('.');
    return new Failure('settings-invalid', {
      file,
      key,
      problem: 'unknown setting',
      remedy: `remove ${key}, or correct its name as in docs/operators/settings.md`,
    });
  }
  const key = path || 'file';
  return new Failure('settings-invalid', {
    file,
    key,
    problem: issue?.message ?? 'invalid value',
    remedy: `set ${key} as described in docs/operators/settings.md`,
  });
}

function getLineNumber(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
