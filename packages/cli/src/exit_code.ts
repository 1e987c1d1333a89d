/** Exit codes of `galenavalve`; scripts rely on them. */
import type {JobView} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';

/** What the exit code of the command line tells. */
export const ExitCode = {
  /** The command was carried out, and the job, if one was waited for, succeeded. */
  ok: 0,
  /** A fault of the tool itself. */
  internal: 1,
  /** Wrong arguments, settings or files; nothing was sent. */
  usage: 2,
  /** Nothing was recorded or run: the same command can be given again later. */
  notRun: 3,
  /** Refused for good: the request has to be changed. */
  rejected: 4,
  /** Not known yet: give the same command again with the same ids. */
  unknown: 5,
  /** The job has ended without success. */
  failedJob: 6,
  /** The job is recorded and had not finished when the wait was over. */
  unfinished: 7,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** The exit code that belongs to an error. */
export function getExitCode(error: unknown): ExitCode {
  if (!(error instanceof Failure)) {
    return ExitCode.internal;
  }
  switch (error.status) {
    case 429:
    case 503:
      return ExitCode.notRun;
    case 504:
      return ExitCode.unknown;
    case 500:
      return error.code === 'settings-invalid'
        ? ExitCode.usage
        : ExitCode.internal;
    default:
      return ExitCode.rejected;
  }
}

/** The exit code that tells how a job stands. */
export function getJobExitCode(job: JobView): ExitCode {
  if (job.phase !== 'finished') {
    return ExitCode.unfinished;
  }
  return job.outcome === 'succeeded' ? ExitCode.ok : ExitCode.failedJob;
}
