/** What the targets ran, as the stand-ins saw it. */
import got from 'got';

/** A start or an end of the tasks of one attempt on one target. */
export interface RunEvent {
  kind: 'started' | 'ended';
  target: string;
  jobId: string;
  attempt: number;
  firstTask: number;
  tasks: number;
  /** Wall-clock milliseconds. */
  at: number;
}

/** Reads the events of all targets. */
export async function readRuns(urls: Iterable<string>): Promise<RunEvent[]> {
  const pages = await Promise.all(
    [...urls].map(url => got(`${url}/control/runs`).json<{runs: RunEvent[]}>()),
  );
  return pages.flatMap(page => page.runs).sort((a, b) => a.at - b.at);
}
