/** Exit codes of `galenavalve`; scripts rely on them. */
import type {JobView} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';

/** Exit codes by meaning. */
export const ExitCode = {
  /** The command succeeded, and so did the job if the command waited for one. */
  ok: 0,
  /** Internal error of the tool. */
  internal: 1,
  /** Invalid arguments, settings or files; nothing was sent. */
  usage: 2,
  /** Nothing was recorded or run; the same command can be retried later. */
  notRun: 3,
  /** Rejected; a retry fails as well unless the request is changed. */
  rejected: 4,
  /** Outcome unknown; retry the same command with the same ids. */
  unknown: 5,
  /** The job finished without success. */
  failedJob: 6,
  /** The job is recorded but did not finish within the wait. */
  unfinished: 7,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Returns the exit code of an error; errors other than `Failure` are internal errors. */
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

/** Returns the exit code of a job's current state. */
export function getJobExitCode(job: JobView): ExitCode {
  if (job.phase !== 'finished') {
    return ExitCode.unfinished;
  }
  return job.outcome === 'succeeded' ? ExitCode.ok : ExitCode.failedJob;
}
