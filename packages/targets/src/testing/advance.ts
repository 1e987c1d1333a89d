/** Advances a manual clock in tests. */
import type {ManualClock, Milliseconds} from '@galenavalve/shared';

/** Step by which the clock advances while a promise is pending. */
const STEP_MS = 50;

/**
 * Advances the clock until the promise settles; throws if it is still pending
 * after `limit` milliseconds.
 */
export async function advanceUntil<T>(
  clock: ManualClock,
  promise: Promise<T>,
  limit: Milliseconds = 600_000,
): Promise<T> {
  let isSettled = false;
  const onSettled = () => {
    isSettled = true;
  };
  promise.then(onSettled, onSettled);
  await clock.advance(0);
  for (let waited = 0; !isSettled; waited += STEP_MS) {
    if (waited > limit) {
      throw new Error(`the promise is still pending after ${limit} ms`);
    }
    await clock.advance(STEP_MS);
  }
  return promise;
}
