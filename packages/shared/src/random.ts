/** Seeded random numbers, which make runs reproducible. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
}

/** Generator whose sequence is determined by its seed. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }
}

/** Returns an exponential backoff with full jitter: a random share of `baseMs * 2^attempt`, at most `capMs`. */
export function computeJitteredBackoff(
  attempt: number,
  baseMs: number,
  capMs: number,
  random: Random,
): number {
  return random.next() * Math.min(capMs, baseMs * 2 ** attempt);
}

/** Returns a random integer in [0, `bound`). */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
