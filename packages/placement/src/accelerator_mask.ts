/** Operations on bit masks of the accelerators of one target; bit 0 is the first accelerator. */

/** Returns the number of set bits. */
export function countBits(mask: number): number {
  let rest = mask - ((mask >>> 1) & 0x55555555);
  rest = (rest & 0x33333333) + ((rest >>> 2) & 0x33333333);
  return (((rest + (rest >>> 4)) & 0x0f0f0f0f) * 0x01010101) >>> 24;
}

/** Returns the mask of the first `count` accelerators. */
export function createFullMask(count: number): number {
  return 2 ** count - 1;
}

/**
 * Returns the masks of the two halves of a target with `count` accelerators:
 * the lower half first. The last accelerator of an odd count is in neither.
 */
export function listHalfMasks(count: number): [number, number] {
  const size = Math.floor(count / 2);
  const first = createFullMask(size);
  return [first, first << size];
}

/** Returns the lowest `count` set bits of `mask`. */
export function selectLowestBits(mask: number, count: number): number {
  let selected = 0;
  let rest = mask;
  for (let i = 0; i < count; i++) {
    const bit = rest & -rest;
    selected |= bit;
    rest ^= bit;
  }
  return selected;
}

/**
 * Chooses `count` accelerators from the mask `available` of a target with
 * `total` accelerators, so that as few halves as possible become partly used.
 */
export function chooseAccelerators(
  available: number,
  count: number,
  total: number,
): number {
  const [low, high] = listHalfMasks(total);
  const lowFree = available & low;
  const highFree = available & high;
  const lowCount = countBits(lowFree);
  const highCount = countBits(highFree);
  const [small, smallCount, large, largeCount] =
    lowCount <= highCount
      ? [lowFree, lowCount, highFree, highCount]
      : [highFree, highCount, lowFree, lowCount];
  if (count <= smallCount) {
    return selectLowestBits(small, count);
  }
  if (count <= largeCount) {
    return selectLowestBits(large, count);
  }
  const rest = available & ~large;
  return large | selectLowestBits(rest, count - largeCount);
}
