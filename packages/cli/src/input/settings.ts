/**
 * Loads the settings of the command line from options, environment variables
 * and the settings file.
 */
import {z} from 'zod';
import {Failure} from '@galenavalve/shared';
import {checkValue, readJsonc} from './jsonc_file.js';

/** Timeout of a call when neither an option nor the settings file gives one. */
const DEFAULT_DEADLINE_SECONDS = 30;

const entryUrl = z.url({protocol: /^https?$/});

/** Schema of the settings file. */
export const settingsFile = z.strictObject({
  /** Base URLs of entry instances, or of the load balancer in front of them. */
  entries: z.array(entryUrl).min(1).optional(),
  /** Author to record in the change history. */
  author: z.string().min(1).max(128).optional(),
  /** Timeout of a call, in seconds. */
  deadlineSeconds: z.number().positive().max(3600).optional(),
});
export type SettingsFile = z.infer<typeof settingsFile>;

/** Resolved settings. */
export interface Settings {
  /** Base URLs of entry instances, at least one. */
  entries: string[];
  author: string;
  /** Timeout of a call. */
  deadlineSeconds: number;
}

/** Options that all commands share. */
export interface GlobalOptions {
  entry?: string;
  settings?: string;
  author?: string;
  /** Timeout of a call, in seconds. */
  deadline?: number;
  json?: boolean;
}

/** Environment variables; GALENAVALVE_ENTRIES, GALENAVALVE_SETTINGS and USER are read. */
export type EnvironmentVariables = Readonly<Record<string, string | undefined>>;

/**
 * Loads the settings. An option overrides an environment variable, which
 * overrides the settings file; the variable USER is only the default author.
 * Throws `settings-invalid`.
 */
export function loadSettings(
  options: GlobalOptions,
  environment: EnvironmentVariables,
): Settings {
  const path = options.settings ?? environment['GALENAVALVE_SETTINGS'];
  const file = path ? checkValue(settingsFile, readJsonc(path), path) : {};
  const {entry} = options;
  const variable = environment['GALENAVALVE_ENTRIES'];
  return {
    entries:
      parseEntries(entry ?? variable) ?? file.entries ?? throwNoEntries(),
    author:
      options.author ?? file.author ?? environment['USER'] ?? 'unknown author',
    deadlineSeconds:
      options.deadline ?? file.deadlineSeconds ?? DEFAULT_DEADLINE_SECONDS,
  };
}

function parseEntries(text: string | undefined): string[] | undefined {
  if (!text) {
    return undefined;
  }
  const entries = text.split(',').map(entry => entry.trim());
  return checkValue(z.array(entryUrl).min(1), entries, '--entry');
}

function throwNoEntries(): never {
  throw new Failure('settings-invalid', {
    file: 'galenavalve',
    key: 'entries',
    problem: 'no entry instance is configured',
    remedy:
      'pass --entry URL, set GALENAVALVE_ENTRIES, or list entries in the settings file',
  });
}
