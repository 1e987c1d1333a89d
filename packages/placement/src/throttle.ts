/** Decides which gangs are throttled because they use more resources than they declared. */
import type {GangShape} from '@galenavalve/model';

/** Latest usage of one gang's tasks on a target, as the target reported it. */
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

/** Limits that a target applies to a gang's tasks, in total. */
export interface Throttle {
  jobId: string;
  target: string;
  /** Processor cores. */
  processors: number;
  /** Mebibytes. */
  memoryMb: number;
}

/** Age beyond which a usage report is ignored as outdated. */
export const MAX_REPORT_AGE_MS = 30_000;

/** Factor on the declared amount up to which usage is tolerated. */
const USAGE_TOLERANCE_FACTOR = 1.1;

/**
 * Returns the throttle for a gang on one target, or null if it needs none.
 * Returns undefined if the report is outdated; an existing throttle then stays
 * unchanged.
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
    report.processors > processors * USAGE_TOLERANCE_FACTOR ||
    report.memoryMb > memoryMb * USAGE_TOLERANCE_FACTOR;
  return isOver ? {jobId, target, processors, memoryMb} : null;
}
