/** Reads and checks the settings file. */
import {readFileSync} from 'node:fs';
import {type ParseError, parse, printParseErrorCode} from 'jsonc-parser';
import type {z} from 'zod';
import {Failure, describeError} from '@galenavalve/shared';
import {type Settings, settings} from './settings.js';

/** Reads `file`. Throws `settings-invalid`, which names the key, the file and the remedy. */
export function loadSettings(file: string): Settings {
  return parseSettings(readText(file), file);
}

/** Checks the text of a settings file. */
export function parseSettings(text: string, file: string): Settings {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  const first = errors[0];
  if (first) {
    throw new Failure('settings-invalid', {
      file,
      key: `line ${lineAt(text, first.offset)}`,
      problem: `it is not JSON with comments (${printParseErrorCode(first.error)})`,
      remedy: 'mend the syntax at that line',
    });
  }
  const result = settings.safeParse(value);
  if (!result.success) {
    throw describeIssue(file, result.error.issues);
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
      problem: `it cannot be read (${describeError(error)})`,
      remedy: 'name a settings file that exists and may be read',
    });
  }
}

function describeIssue(file: string, issues: z.core.$ZodIssue[]): Failure {
  const issue = issues[0];
  const path = issue?.path.join('.') ?? '';
  if (issue?.code === 'unrecognized_keys') {
    const key = [path, issue.keys[0]].filter(Boolean).join('.');
    return new Failure('settings-invalid', {
      file,
      key,
      problem: 'there is no such setting',
      remedy: `remove ${key}, or look its name up in docs/operators/settings.md`,
    });
  }
  const key = path || 'file';
  return new Failure('settings-invalid', {
    file,
    key,
    problem: issue?.message ?? 'it is not valid',
    remedy: `set ${key} as docs/operators/settings.md says`,
  });
}

function lineAt(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
