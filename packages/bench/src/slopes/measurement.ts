/** Measures run time, heap use and the busy time of the event loop. */
import {performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Number of repetitions, of which the median counts. */
const REPETITIONS = 3;

/** Measures the time of `work` in milliseconds: the median of three runs, each with a new input from `prepare`. */
export function measureTimeMs<Input>(
  prepare: () => Input,
  work: (input: Input) => void,
): number {
  const timesMs: number[] = [];
  for (let run = 0; run < REPETITIONS; run++) {
    const input = prepare();
    const startedAt = performance.now();
    work(input);
    timesMs.push(performance.now() - startedAt);
  }
  timesMs.sort((a, b) => a - b);
  return timesMs[Math.floor(REPETITIONS / 2)]!;
}

/** Measures the heap that the result of `create` takes, in bytes. */
export function measureHeapBytes(create: () => unknown): number {
  const heapBeforeBytes = measureUsedHeapBytes();
  const created = create();
  const heapAfterBytes = measureUsedHeapBytes();
  // The reference keeps the result reachable until the heap has been measured.
  return created === undefined ? 0 : heapAfterBytes - heapBeforeBytes;
}

/** Measures how long this thread's event loop was busy during `work`, in milliseconds. */
export async function measureBusyTimeMs(
  work: () => Promise<void>,
): Promise<number> {
  const utilizationBefore = performance.eventLoopUtilization();
  await work();
  return performance.eventLoopUtilization(utilizationBefore).active;
}

let collectGarbage: (() => void) | undefined;

function measureUsedHeapBytes(): number {
  if (!collectGarbage) {
    setFlagsFromString('--expose-gc');
    collectGarbage = runInNewContext('gc') as () => void;
  }
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
