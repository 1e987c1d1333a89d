/** A measured slope: what one more of something costs. */
import {type Fit, type Point, fitLine} from './fit.js';

/** What was measured, over what. */
export interface SlopeTitle {
  /** Stable name, by which docs/CAPACITY.md refers to it. */
  id: string;
  /** What x counts, such as "queued jobs". */
  over: string;
  /** What y is, with its unit, such as "heap bytes". */
  measured: string;
}

/** A slope with its points. */
export interface Slope extends SlopeTitle, Fit {
  points: Point[];
}

/** Measures y for each x, and fits a line. */
export async function measureSlope(
  title: SlopeTitle,
  xs: readonly number[],
  measure: (x: number) => number | Promise<number>,
): Promise<Slope> {
  const points: Point[] = [];
  // The first run compiles code, which would count as the first point's.
  await measure(xs[0]!);
  for (const x of xs) {
    points.push({x, y: await measure(x)});
  }
  return createSlope(title, points);
}

/** The slope of points that were measured before. */
export function createSlope(title: SlopeTitle, points: Point[]): Slope {
  return {...title, ...fitLine(points), points};
}

/** Several values that are measured together, each over the same x. */
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
