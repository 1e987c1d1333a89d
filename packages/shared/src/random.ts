/** Seeded random numbers, so that every run can be repeated. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Source of random numbers. */
export interface Random {
  /** A number in [0, 1). */
  next(): number;
}

/** A generator that gives the same numbers for the same seed. */
export class SeededRandom implements Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.generator.next() >>> 0) / 2 ** 32;
  }
}

/** Full jitter: a random share of `base * 2^attempt`, at most `cap` milliseconds. */
export function computeJitteredBackoff(
  attempt: number,
  base: number,
  cap: number,
  random: Random,
): number {
  return random.next() * Math.min(cap, base * 2 ** attempt);
}

/** An integer in [0, bound). */
export function nextInteger(random: Random, bound: number): number {
  return Math.floor(random.next() * bound);
}
