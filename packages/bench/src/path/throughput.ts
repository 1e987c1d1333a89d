/** Measures the rate of job submissions that the entry instances sustain. */
import {build} from 'hdr-histogram-js';
import type {Cluster} from '@galenavalve/demo';

const CALLER_COUNT = 96;
const TASK_RUN_MS = 5;

/** Figures of concurrent callers, each of which sends one request after another. */
export interface Throughput {
  callers: number;
  seconds: number;
  /** Responses with status 200 or 202. */
  accepted: number;
  /** Responses with status 429 or 503: the job will not run. */
  notRun: number;
  /** Responses with any other status. */
  other: number;
  acceptedPerSecond: number;
  acceptMsP50: number;
  acceptMsP99: number;
}

/** Submits small jobs from 96 concurrent callers for `seconds`, without waiting for the jobs to end. */
export async function measureThroughput(
  {api}: Cluster,
  seconds: number,
): Promise<Throughput> {
  const endAt = performance.now() + seconds * 1000;
  const latency = build();
  const counts = {accepted: 0, notRun: 0, other: 0};
  let nextIndex = 0;
  const submitUntilEnd = async () => {
    while (performance.now() < endAt) {
      const sentAt = performance.now();
      const {status} = await api.submit(createDraft(nextIndex++), 0);
      latency.recordValue(performance.now() - sentAt);
      if (status === 202 || status === 200) {
        counts.accepted++;
      } else if (status === 429 || status === 503) {
        counts.notRun++;
      } else {
        counts.other++;
      }
    }
  };
  await Promise.all(Array.from({length: CALLER_COUNT}, submitUntilEnd));
  return {
    callers: CALLER_COUNT,
    seconds,
    ...counts,
    acceptedPerSecond: Math.round(counts.accepted / seconds),
    acceptMsP50: latency.getValueAtPercentile(50),
    acceptMsP99: latency.getValueAtPercentile(99),
  };
}

function createDraft(index: number) {
  return {
    requestId: `throughput-${index}`,
    workspace: 'reports',
    gang: {
      tasks: 1,
      perTask: {accelerators: 1, processors: 1, memoryMb: 64},
      adjacency: 'target' as const,
    },
    expectedSeconds: 1,
    createdAt: Date.now(),
    payload: {durationMs: TASK_RUN_MS},
  };
}
