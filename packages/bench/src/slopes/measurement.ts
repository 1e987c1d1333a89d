/** Measures time, heap and the loop's busy time. */
import {performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Repetitions of which the middle one counts. */
const REPETITIONS = 3;

/** Milliseconds that `work` takes: the median of a few runs, each on a fresh `prepare()`. */
export function measureTimeMs<Input>(
  prepare: () => Input,
  work: (input: Input) => void,
): number {
  const times: number[] = [];
  for (let run = 0; run < REPETITIONS; run++) {
    const input = prepare();
    const startedAt = performance.now();
    work(input);
    times.push(performance.now() - startedAt);
  }
  times.sort((a, b) => a - b);
  return times[Math.floor(REPETITIONS / 2)]!;
}

/** Bytes of heap that the result of `create` takes. */
export function measureHeapBytes(create: () => unknown): number {
  const before = usedHeap();
  const created = create();
  const after = usedHeap();
  // Keeps the result alive until the heap was measured.
  return created === undefined ? 0 : after - before;
}

/** Milliseconds in which this thread's loop was busy while `work` ran. */
export async function measureBusyTimeMs(
  work: () => Promise<void>,
): Promise<number> {
  const before = performance.eventLoopUtilization();
  await work();
  return performance.eventLoopUtilization(before).active;
}

let collect: (() => void) | undefined;

function usedHeap(): number {
  if (!collect) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as () => void;
  }
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
