/** Drives a manual clock in tests. */
import type {ManualClock, Milliseconds} from '@galenavalve/shared';

/** Step by which time moves while a promise is pending. */
const STEP_MS = 50;

/** Moves time forward until the promise settles; throws after `limit` milliseconds. */
export async function advanceUntil<T>(
  clock: ManualClock,
  promise: Promise<T>,
  limit: Milliseconds = 600_000,
): Promise<T> {
  let isSettled = false;
  const settle = () => {
    isSettled = true;
  };
  promise.then(settle, settle);
  await clock.advance(0);
  for (let waited = 0; !isSettled; waited += STEP_MS) {
    if (waited > limit) {
      throw new Error(`the promise is pending after ${limit} ms`);
    }
    await clock.advance(STEP_MS);
  }
  return promise;
}
