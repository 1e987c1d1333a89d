/** Builds a job request from a file and options. */
import {randomUUID} from 'node:crypto';
import type {z} from 'zod';
import {jobRequest, type JobRequest} from '@galenavalve/model';
import {checkValue, parseJsonc, readJsonc} from './jsonc_file.js';

/** Options of `submit` and `plan`; each goes before the same field of the file. */
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
  createdAt?: number;
}

type Draft = Partial<z.input<typeof jobRequest>>;

/**
 * Builds the request. `wallTime` is the time of creation unless one is given;
 * to ask again for the same request, give its id and time of creation.
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
    ...pickOptions(options),
  };
  return checkValue(jobRequest, request, file ?? 'the options');
}

function readDraft(file: string): Draft {
  const value = readJsonc(file);
  return typeof value === 'object' && value !== null ? value : {};
}

function buildGang(draft: Draft['gang'], options: JobOptions): unknown {
  const {tasks, accelerators, processors, memoryMb, adjacency} = options;
  return {
    ...draft,
    tasks: tasks ?? draft?.tasks ?? 1,
    perTask: {
      ...draft?.perTask,
      ...omitMissing({accelerators, processors, memoryMb}),
    },
    ...omitMissing({adjacency}),
  };
}

function pickOptions(options: JobOptions): object {
  const {workspace, expectedSeconds, kind, urgent, checkpointable} = options;
  return omitMissing({
    workspace,
    expectedSeconds,
    kind,
    urgent,
    checkpointable,
    repeatable: options.notRepeatable && false,
    payload: options.payload && parseJsonc(options.payload, '--payload'),
  });
}

function omitMissing(values: Record<string, unknown>): object {
  const given = Object.entries(values).filter(
    ([, value]) => value !== undefined,
  );
  return Object.fromEntries(given);
}
