/** Fixtures for the emulator's specs. */
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import type {JobSpec, Step} from '@galenavalve/workload';

/** Returns a step with defaults for the values that are not given. */
export function createStep(values: Partial<Step> = {}): Step {
  return {
    count: 2,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 1},
    estimateMs: 1000,
    dependsOn: [],
    isGang: false,
    isRackSensitive: false,
    savesProgress: false,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
    ...values,
  };
}

/** Returns a job of the given steps. */
export function createSpec(steps: Step[] = [createStep()]): JobSpec {
  return {payload: 'work', steps};
}

/** Returns a job id of 16 hexadecimal digits. */
export function createId(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Returns a seeded sequence of jobs like those of the users' sites; `gap` is the time after each submission, in milliseconds. */
export function createStream(
  seed: number,
  count: number,
): Array<{id: string; spec: JobSpec; priority: number; gap: number}> {
  const random = new SeededRandom(seed);
  return Array.from({length: count}, (_, index) => {
    const priority = nextInteger(random, 3);
    const isGang = priority < 2;
    const accelerators = [1, 1, 2, 4, 8][nextInteger(random, 5)]!;
    const first = createStep({
      count: 1 + nextInteger(random, isGang ? 4 : 12),
      isGang,
      isRackSensitive: isGang && random.next() < 0.7,
      savesProgress: random.next() < 0.5,
      estimateMs: 500 + nextInteger(random, 4000),
      demand: {
        cpu: 4000,
        memoryMb: 8000,
        accelerators: isGang ? accelerators : 1,
      },
    });
    const second = createStep({count: 2, dependsOn: [0]});
    const spec = createSpec(random.next() < 0.3 ? [first, second] : [first]);
    return {
      id: createId(index + 1),
      spec,
      priority,
      gap: nextInteger(random, 400),
    };
  });
}
