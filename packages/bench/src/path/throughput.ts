/** Requests a second that the entry instances hold. */
import {build} from 'hdr-histogram-js';
import type {Cluster} from '@galenavalve/demo';

const CALLERS = 96;
const RUN_MS = 5;

/** What callers saw who sent one request after another. */
export interface Throughput {
  callers: number;
  seconds: number;
  accepted: number;
  notRun: number;
  other: number;
  acceptedPerSecond: number;
  acceptMsP50: number;
  acceptMsP99: number;
}

/** Lets callers submit small jobs for `seconds`, without waiting for their ends. */
export async function measureThroughput(
  {api}: Cluster,
  seconds: number,
): Promise<Throughput> {
  const end = performance.now() + seconds * 1000;
  const latency = build();
  const counts = {accepted: 0, notRun: 0, other: 0};
  let next = 0;
  const call = async () => {
    while (performance.now() < end) {
      const sentAt = performance.now();
      const {status} = await api.submit(createDraft(next++), 0);
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
  await Promise.all(Array.from({length: CALLERS}, call));
  return {
    callers: CALLERS,
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
    payload: {durationMs: RUN_MS},
  };
}
