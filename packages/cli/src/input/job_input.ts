/** Builds job requests from files and options. */
import {randomUUID} from 'node:crypto';
import type {z} from 'zod';
import {jobRequest, type JobRequest} from '@galenavalve/model';
import {checkValue, parseJsonc, readJsonc} from './jsonc_file.js';

/** Options of `submit` and `plan`; each overrides the same field of the file. */
export interface JobOptions {
  workspace?: string;
  tasks?: number;
  accelerators?: number;
  processors?: number;
  memoryMb?: number;
  adjacency?: string;
  expectedSeconds?: number;
  notRepeatable?: true;
  urgent?: boolean;
  checkpointable?: boolean;
  kind?: string;
  payload?: string;
  requestId?: string;
  /** Milliseconds since the Unix epoch. */
  createdAt?: number;
}

/** Fields of a job request that a file gives. */
type JobRequestDraft = Partial<z.input<typeof jobRequest>>;

/**
 * Builds a job request. Its creation time is `wallTime`, in milliseconds since
 * the Unix epoch, unless a file or option gives one. A retry of a request needs
 * the same id and creation time. Throws `settings-invalid` when the request is
 * not valid.
 */
export function buildJobRequest(
  file: string | undefined,
  options: JobOptions,
  wallTime: number,
): JobRequest {
  const draft = file ? readDraft(file) : {};
  const request = {
    ...draft,
    requestId: options.requestId ?? draft.requestId ?? randomUUID(),
    createdAt: options.createdAt ?? draft.createdAt ?? wallTime,
    gang: buildGang(draft.gang, options),
    ...pickRequestFields(options),
  };
  return checkValue(jobRequest, request, file ?? 'the options');
}

function readDraft(file: string): JobRequestDraft {
  const value = readJsonc(file);
  return typeof value === 'object' && value !== null ? value : {};
}

function buildGang(
  draft: JobRequestDraft['gang'],
  options: JobOptions,
): unknown {
  const {tasks, accelerators, processors, memoryMb, adjacency} = options;
  return {
    ...draft,
    tasks: tasks ?? draft?.tasks ?? 1,
    perTask: {
      ...draft?.perTask,
      ...omitUndefined({accelerators, processors, memoryMb}),
    },
    ...omitUndefined({adjacency}),
  };
}

function pickRequestFields(options: JobOptions): object {
  const {workspace, expectedSeconds, kind, urgent, checkpointable} = options;
  return omitUndefined({
    workspace,
    expectedSeconds,
    kind,
    urgent,
    checkpointable,
    repeatable: options.notRepeatable && false,
    payload: options.payload && parseJsonc(options.payload, '--payload'),
  });
}

function omitUndefined(values: Record<string, unknown>): object {
  const definedEntries = Object.entries(values).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(definedEntries);
}
