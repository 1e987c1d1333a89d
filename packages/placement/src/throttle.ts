/** Decides which gangs are throttled because they use more than they declared. */
import type {GangShape} from '@galenavalve/model';

/** What a target last reported of one gang's tasks on it. */
export interface UsageReport {
  jobId: string;
  target: string;
  /** Tasks of the gang on the target. */
  tasks: number;
  /** Processor cores in use. */
  processors: number;
  /** Memory in use, in mebibytes. */
  memoryMb: number;
  /** Wall-clock milliseconds at which the usage was measured. */
  measuredAt: number;
}

/** Limits that a target puts on a gang's tasks. */
export interface Throttle {
  jobId: string;
  target: string;
  /** Processor cores. */
  processors: number;
  /** Mebibytes. */
  memoryMb: number;
}

/** Age at which a report says nothing about the present, in milliseconds. */
export const MAX_REPORT_AGE_MS = 30_000;

/** Use above the declared amount that is tolerated. */
const TOLERANCE = 1.1;

/**
 * The throttle for a gang on one target. `undefined` means that the report is
 * too old to tell: an existing throttle stays as it is. `null` means none.
 */
export function decideThrottle(
  report: UsageReport,
  gang: GangShape,
  now: number,
): Throttle | null | undefined {
  if (now - report.measuredAt > MAX_REPORT_AGE_MS) {
    return undefined;
  }
  const {jobId, target, tasks} = report;
  const processors = gang.perTask.processors * tasks;
  const memoryMb = gang.perTask.memoryMb * tasks;
  const isOver =
    report.processors > processors * TOLERANCE ||
    report.memoryMb > memoryMb * TOLERANCE;
  return isOver ? {jobId, target, processors, memoryMb} : null;
}
