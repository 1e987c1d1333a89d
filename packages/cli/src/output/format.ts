/** Formats single values for text output. */
import type {Assignment} from '@galenavalve/model';

/**
 * Formats a time, in milliseconds since the Unix epoch, as ISO 8601 with a
 * precision of one second; "-" if undefined.
 */
export function formatTime(wallTime: number | undefined): string {
  return wallTime === undefined
    ? '-'
    : new Date(wallTime).toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Formats a duration, such as "2.5 s" or "3 min 5 s". */
export function formatDuration(durationMs: number): string {
  const seconds = durationMs / 1000;
  if (seconds < 60) {
    return `${seconds.toFixed(1)} s`;
  }
  const minutes = Math.floor(seconds / 60);
  if (minutes < 60) {
    return `${minutes} min ${Math.floor(seconds % 60)} s`;
  }
  return `${Math.floor(minutes / 60)} h ${minutes % 60} min`;
}

/** Formats a count with its noun, such as "1 job" or "3 jobs". */
export function formatCount(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

/**
 * Formats the tasks of a gang on one target, such as "jnb-r1-t3: tasks 0-7,
 * accelerators 0-7".
 */
export function formatAssignment(assignment: Assignment): string {
  const {target, firstTask, tasks} = assignment;
  const last = firstTask + tasks - 1;
  const range =
    tasks === 1 ? `task ${firstTask}` : `tasks ${firstTask}-${last}`;
  const accelerators = listSetBits(assignment.accelerators);
  return accelerators.length === 0
    ? `${target}: ${range}`
    : `${target}: ${range}, accelerators ${formatRanges(accelerators)}`;
}

/** Formats ascending numbers as ranges, such as "0-3 6". */
function formatRanges(numbers: readonly number[]): string {
  const ranges: {first: number; last: number}[] = [];
  for (const number of numbers) {
    const latest = ranges.at(-1);
    if (latest && number === latest.last + 1) {
      latest.last = number;
    } else {
      ranges.push({first: number, last: number});
    }
  }
  return ranges
    .map(({first, last}) => (first === last ? `${first}` : `${first}-${last}`))
    .join(' ');
}

/** Lists the positions of the bits that are set, lowest first. */
function listSetBits(mask: number): number[] {
  const bits: number[] = [];
  for (let bit = 0; 2 ** bit <= mask; bit++) {
    if (Math.floor(mask / 2 ** bit) % 2 === 1) {
      bits.push(bit);
    }
  }
  return bits;
}
