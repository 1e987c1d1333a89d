/** Checks the jobs of a cluster as its users do at the end of a day, after submissions and faults have ended. */
import type {Milliseconds} from '@galenavalve/shared';
import {listDueUnits} from './cluster_view.js';
import type {EmulatedCluster} from './emulated_cluster.js';
import {MAX_IDLE_MS} from './idle_job_check.js';
import type {Violation} from './run_auditor.js';

/** Time from the end of submissions and faults from which on jobs are judged; stated by the platform. */
const FINISH_MS: Milliseconds = 14_000;

/** Time for which jobs are watched; longer than a job may be idle. */
const WATCH_MS: Milliseconds = MAX_IDLE_MS + 500;

/** Time in which an instance that was started anew has read the log. */
const READ_MS: Milliseconds = 3000;

/** Waits until jobs are judged and reports those that are idle, unknown or open without cause. */
export async function auditEnd(cluster: EmulatedCluster): Promise<void> {
  await cluster.advance(FINISH_MS);
  cluster.isEndDue = true;
  await cluster.advance(WATCH_MS);
  cluster.isEndDue = false;
  for (const id of cluster.listAcceptedJobs()) {
    const reason = findReasonToEnd(cluster, id);
    // A job ends once none of its runs can be alive.
    const {auditor, fleet, clock} = cluster;
    const isKnown =
      clock.now() >= auditor.findLastCrash(id) + fleet.crashNotice;
    if (reason && isKnown && cluster.getJobState(id) === 'active') {
      report(cluster, 'open-job', `${id} is open although ${reason}`);
    }
  }
  const fresh = cluster.startInstance('fresh');
  await cluster.advance(READ_MS);
  for (const id of cluster.listAcceptedJobs()) {
    if (!fresh.table.find(id)) {
      report(cluster, 'unknown-job', `${id} is unknown to a new instance`);
    }
  }
}

/** Returns why a job must have ended; undefined if it may be open. */
function findReasonToEnd(
  cluster: EmulatedCluster,
  id: string,
): string | undefined {
  const {auditor, clock} = cluster;
  if (auditor.isCancelConfirmed(id)) {
    return 'it was cancelled';
  }
  const job = cluster.jobs.get(id)!;
  const units = listDueUnits(
    {id, job},
    {
      isDone: task => auditor.doneTasks.has(task),
      wallTime: clock.wallTime(),
    },
  );
  const exhausted = units.find(({task}) => auditor.hasNoAttemptLeft(task));
  if (exhausted) {
    return `${exhausted.task} has used up its attempts`;
  }
  const {schedule} = job.spec;
  const lastDueAt = schedule
    ? schedule.startAt + (schedule.times - 1) * schedule.intervalMs
    : 0;
  const isAllDue = clock.wallTime() >= lastDueAt;
  return units.length === 0 && isAllDue ? 'all tasks are done' : undefined;
}

function report(
  cluster: EmulatedCluster,
  rule: Violation['rule'],
  detail: string,
): void {
  cluster.auditor.violations.push({rule, at: cluster.clock.now(), detail});
}
