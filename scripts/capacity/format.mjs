/** Writes figures and tables as Markdown. */

/** Three digits, with thousands separated. */
export function figure(value) {
  if (!Number.isFinite(value)) {
    return 'none';
  }
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-US', {maximumFractionDigits: 6});
}

/** A table from its heads and rows. */
export function table(heads, rows) {
  const lines = [heads, heads.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** How far a value is below its limit, or above it. */
export function verdict(value, limit) {
  const share = value / limit;
  if (share <= 1) {
    return `met, ${figure((1 - share) * 100)}% to spare`;
  }
  return `**missed**, ${figure(share)} times the limit`;
}
