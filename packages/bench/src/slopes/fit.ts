/** Straight lines through measured points, by least squares. */

/** One measured point. */
export interface Point {
  x: number;
  y: number;
}

/** The line y = intercept + slope * x. */
export interface Fit {
  slope: number;
  intercept: number;
  /** Largest distance of a point from the line, as a share of the largest y. */
  residual: number;
}

/** Fits a line. Needs two different x at least. */
export function fitLine(points: readonly Point[]): Fit {
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  const spread = sum(points.map(({x}) => (x - meanX) ** 2));
  const product = sum(points.map(({x, y}) => (x - meanX) * (y - meanY)));
  const slope = product / spread;
  const intercept = meanY - slope * meanX;
  const distances = points.map(({x, y}) => Math.abs(y - intercept - slope * x));
  const largest = Math.max(...points.map(point => Math.abs(point.y)));
  const residual = largest === 0 ? 0 : Math.max(...distances) / largest;
  return {slope, intercept, residual};
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
