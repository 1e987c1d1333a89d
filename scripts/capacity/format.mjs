/** Formats figures and tables as Markdown. */

/** Formats a number with three significant digits and thousands separators; `none` when it is not finite. */
export function formatFigure(value) {
  if (!Number.isFinite(value)) {
    return 'none';
  }
  const rounded = Number(value.toPrecision(3));
  return rounded.toLocaleString('en-US', {maximumFractionDigits: 6});
}

/** Formats a Markdown table. */
export function formatTable(headers, rows) {
  const lines = [headers, headers.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Formats whether a value meets its limit, and by how much. */
export function formatVerdict(value, limit) {
  const share = value / limit;
  if (share <= 1) {
    return `met, ${formatFigure((1 - share) * 100)}% to spare`;
  }
  return `**missed**, ${formatFigure(share)} times the limit`;
}
