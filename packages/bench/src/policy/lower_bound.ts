/** Completion times that no policy can beat. */
import {Heap} from 'heap-js';
import {TOTAL_ACCELERATORS} from './deployment.js';
import type {StreamJob} from './scenario.js';

/** Bounds of the mean completion time of a stream, in seconds. */
export interface LowerBound {
  /** Mean run time: as if no job ever waited. */
  serviceMean: number;
  /**
   * Mean under shortest remaining work first on one machine as fast as all
   * accelerators together, which any job may use whole.
   */
  relaxedMean: number;
}

/** The bounds of a stream. */
export function computeLowerBound(jobs: readonly StreamJob[]): LowerBound {
  const service = jobs.reduce((sum, {runSeconds: seconds}) => sum + seconds, 0);
  return {
    serviceMean: service / jobs.length,
    relaxedMean: relaxedTotal(jobs) / jobs.length,
  };
}

interface RemainingWork {
  arrival: number;
  seconds: number;
}

function relaxedTotal(jobs: readonly StreamJob[]): number {
  const heap = new Heap<RemainingWork>((a, b) => a.seconds - b.seconds);
  const arrivals = [...jobs].sort(
    (a, b) => a.arrivalSeconds - b.arrivalSeconds,
  );
  let now = 0;
  let total = 0;
  let next = 0;
  while (next < arrivals.length || heap.size() > 0) {
    const arrivalAt = arrivals[next]?.arrivalSeconds ?? Infinity;
    const head = heap.peek();
    if (head && now + head.seconds <= arrivalAt) {
      heap.pop();
      now += head.seconds;
      total += now - head.arrival;
      continue;
    }
    if (head) {
      head.seconds -= arrivalAt - now;
    }
    const {
      gang,
      runSeconds: seconds,
      arrivalSeconds: arrival,
    } = arrivals[next++]!;
    const work = gang.tasks * gang.perTask.accelerators * seconds;
    now = arrivalAt;
    heap.push({arrival, seconds: work / TOTAL_ACCELERATORS});
  }
  return total;
}
