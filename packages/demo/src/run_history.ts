/** Reads the starts and ends of tasks that the target stand-ins recorded. */
import got from 'got';

/** Start or end of the tasks of one attempt on one target. */
export interface RunEvent {
  kind: 'started' | 'ended';
  target: string;
  jobId: string;
  attempt: number;
  /** Index of the first task. */
  firstTask: number;
  /** Number of tasks. */
  tasks: number;
  /** Wall-clock time in milliseconds. */
  at: number;
}

/** Reads the run events of the target stand-ins at `urls`, in the order of their time. */
export async function readRuns(urls: Iterable<string>): Promise<RunEvent[]> {
  const pages = await Promise.all(
    [...urls].map(url => got(`${url}/control/runs`).json<{runs: RunEvent[]}>()),
  );
  return pages.flatMap(page => page.runs).sort((a, b) => a.at - b.at);
}
