/**
 * Straight lines through measured points.
 */

/** One measured value at one size. */
export interface Point {
  at: number;
  value: number;
}

/** `base` at size 0 and what each unit of size adds. */
export interface Line {
  base: number;
  slope: number;
}

/** The least-squares line. */
export function fitLine(points: readonly Point[]): Line {
  const meanAt = mean(points.map(({ at }) => at));
  const meanValue = mean(points.map(({ value }) => value));
  let covariance = 0;
  let variance = 0;
  for (const { at, value } of points) {
    covariance += (at - meanAt) * (value - meanValue);
    variance += (at - meanAt) ** 2;
  }
  const slope = covariance / variance;
  return { base: round(meanValue - slope * meanAt), slope: round(slope) };
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Four digits: more than any of these measurements holds. */
export function round(value: number): number {
  return Number(value.toPrecision(4));
}
