/** Fits straight lines to measured points by least squares. */

/** Measured point. */
export interface Point {
  x: number;
  y: number;
}

/** Line y = intercept + slope * x. */
export interface Fit {
  slope: number;
  intercept: number;
  /** Largest vertical distance of a point from the line, as a share of the largest absolute y. */
  residual: number;
}

/** Fits a line. Needs points with at least two different x. */
export function fitLine(points: readonly Point[]): Fit {
  const meanX = computeMean(points.map(point => point.x));
  const meanY = computeMean(points.map(point => point.y));
  const sumOfSquares = computeSum(points.map(({x}) => (x - meanX) ** 2));
  const sumOfProducts = computeSum(
    points.map(({x, y}) => (x - meanX) * (y - meanY)),
  );
  const slope = sumOfProducts / sumOfSquares;
  const intercept = meanY - slope * meanX;
  const distances = points.map(({x, y}) => Math.abs(y - intercept - slope * x));
  const largest = Math.max(...points.map(point => Math.abs(point.y)));
  const residual = largest === 0 ? 0 : Math.max(...distances) / largest;
  return {slope, intercept, residual};
}

function computeMean(values: readonly number[]): number {
  return computeSum(values) / values.length;
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
