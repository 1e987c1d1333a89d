/** Measures slopes: a slope is the cost of one additional item, such as bytes per queued job. */
import {type Fit, type Point, fitLine} from './fit.js';

/** Name and quantities of a slope. */
export interface SlopeTitle {
  /** Stable name by which docs/CAPACITY.md refers to the slope. */
  id: string;
  /** Quantity x, such as "queued jobs". */
  over: string;
  /** Quantity y with its unit, such as "heap bytes". */
  measured: string;
}

/** Slope with its measured points. */
export interface Slope extends SlopeTitle, Fit {
  points: Point[];
}

/** Measures y for each x and fits a line. */
export async function measureSlope(
  title: SlopeTitle,
  xs: readonly number[],
  measure: (x: number) => number | Promise<number>,
): Promise<Slope> {
  const points: Point[] = [];
  // Warm-up: the first run compiles code, whose time would otherwise count towards the first point.
  await measure(xs[0]!);
  for (const x of xs) {
    points.push({x, y: await measure(x)});
  }
  return createSlope(title, points);
}

/** Creates a slope from points that have been measured. */
export function createSlope(title: SlopeTitle, points: Point[]): Slope {
  return {...title, ...fitLine(points), points};
}

/** Measures several quantities together over the same x, and fits a line to each. */
export async function measureSlopes<Key extends string>(
  titles: Record<Key, SlopeTitle>,
  xs: readonly number[],
  measure: (x: number) => Promise<Record<Key, number>>,
): Promise<Slope[]> {
  await measure(xs[0]!);
  const rows: {x: number; values: Record<Key, number>}[] = [];
  for (const x of xs) {
    rows.push({x, values: await measure(x)});
  }
  return (Object.keys(titles) as Key[]).map(key =>
    createSlope(
      titles[key],
      rows.map(({x, values}) => ({x, y: values[key]})),
    ),
  );
}
