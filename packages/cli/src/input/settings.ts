/** Settings of the command line: options before environment before file. */
import {z} from 'zod';
import {Failure} from '@galenavalve/shared';
import {checkValue, readJsonc} from './jsonc_file.js';

const DEFAULT_DEADLINE_SECONDS = 30;

const entryUrl = z.url({protocol: /^https?$/});

/** The settings file of the command line. */
export const settingsFile = z.strictObject({
  /** Base URLs of entry instances, or of the balancer in front of them. */
  entries: z.array(entryUrl).min(1).optional(),
  /** Name that stands in the history of changes. */
  author: z.string().min(1).max(128).optional(),
  /** A call is given up after this time, in seconds. */
  deadlineSeconds: z.number().positive().max(3600).optional(),
});
export type SettingsFile = z.infer<typeof settingsFile>;

/** The settings in force. */
export interface Settings {
  entries: string[];
  author: string;
  deadlineSeconds: number;
}

/** Options of every command. */
export interface GlobalOptions {
  entry?: string;
  settings?: string;
  author?: string;
  deadline?: number;
  json?: boolean;
}

/** Variables that are read: GALENAVALVE_ENTRIES, GALENAVALVE_SETTINGS and USER. */
export type EnvironmentVariables = Readonly<Record<string, string | undefined>>;

/** Settles the settings. Throws `settings-invalid`. */
export function loadSettings(
  options: GlobalOptions,
  environment: EnvironmentVariables,
): Settings {
  const path = options.settings ?? environment['GALENAVALVE_SETTINGS'];
  const file = path ? checkValue(settingsFile, readJsonc(path), path) : {};
  const {entry} = options;
  const variable = environment['GALENAVALVE_ENTRIES'];
  return {
    entries: parseEntries(entry ?? variable) ?? file.entries ?? failNoEntries(),
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

function failNoEntries(): never {
  throw new Failure('settings-invalid', {
    file: 'galenavalve',
    key: 'entries',
    problem: 'no entry instance is named',
    remedy: 'give --entry URL, GALENAVALVE_ENTRIES, or a settings file',
  });
}
