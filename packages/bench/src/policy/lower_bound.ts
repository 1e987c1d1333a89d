/** Computes lower bounds of the mean completion time that no policy can beat. */
import {Heap} from 'heap-js';
import {TOTAL_ACCELERATORS} from './deployment.js';
import type {StreamJob} from './scenario.js';

/** Lower bounds of the mean completion time of a workload stream, in seconds. */
export interface LowerBound {
  /** Mean run time, which is the mean completion time if no job waits. */
  serviceMean: number;
  /**
   * Mean completion time under shortest remaining work first on a single
   * machine as fast as all accelerators together, which one job can use whole.
   */
  relaxedMean: number;
}

/** Computes the lower bounds of a workload stream. */
export function computeLowerBound(jobs: readonly StreamJob[]): LowerBound {
  const totalRunSeconds = jobs.reduce(
    (sum, {runSeconds}) => sum + runSeconds,
    0,
  );
  return {
    serviceMean: totalRunSeconds / jobs.length,
    relaxedMean: computeRelaxedTotalSeconds(jobs) / jobs.length,
  };
}

interface RemainingWork {
  arrivalSeconds: number;
  /** Time that the work takes on the combined machine, in seconds. */
  remainingSeconds: number;
}

function computeRelaxedTotalSeconds(jobs: readonly StreamJob[]): number {
  const heap = new Heap<RemainingWork>(
    (a, b) => a.remainingSeconds - b.remainingSeconds,
  );
  const arrivals = [...jobs].sort(
    (a, b) => a.arrivalSeconds - b.arrivalSeconds,
  );
  let nowSeconds = 0;
  let totalSeconds = 0;
  let next = 0;
  while (next < arrivals.length || heap.size() > 0) {
    const nextArrivalSeconds = arrivals[next]?.arrivalSeconds ?? Infinity;
    const head = heap.peek();
    if (head && nowSeconds + head.remainingSeconds <= nextArrivalSeconds) {
      heap.pop();
      nowSeconds += head.remainingSeconds;
      totalSeconds += nowSeconds - head.arrivalSeconds;
      continue;
    }
    if (head) {
      head.remainingSeconds -= nextArrivalSeconds - nowSeconds;
    }
    const {gang, runSeconds, arrivalSeconds} = arrivals[next++]!;
    const work = gang.tasks * gang.perTask.accelerators * runSeconds;
    nowSeconds = nextArrivalSeconds;
    heap.push({
      arrivalSeconds,
      remainingSeconds: work / TOTAL_ACCELERATORS,
    });
  }
  return totalSeconds;
}
