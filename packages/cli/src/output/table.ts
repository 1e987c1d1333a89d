/** Renders tables in plain text. */

const COLUMN_GAP = '  ';

/** Column of a table. */
export interface Column<Row> {
  /** Title, printed in upper case. */
  title: string;
  /** Returns the text of a row's cell. */
  text: (row: Row) => string;
  /** True for columns of numbers. */
  alignRight?: boolean;
}

/** Renders rows as lines; each column is as wide as its longest cell. */
export function renderTable<Row>(
  columns: readonly Column<Row>[],
  rows: readonly Row[],
): string {
  const lines = [
    columns.map(column => column.title.toUpperCase()),
    ...rows.map(row => columns.map(column => column.text(row))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map(line => line[index]?.length ?? 0)),
  );
  return lines
    .map(line => renderLine(line, columns, widths).trimEnd())
    .join('\n');
}

function renderLine(
  cells: readonly string[],
  columns: readonly {alignRight?: boolean}[],
  widths: readonly number[],
): string {
  const padded = cells.map((cell, index) => {
    const width = widths[index] ?? 0;
    return columns[index]?.alignRight
      ? cell.padStart(width)
      : cell.padEnd(width);
  });
  return padded.join(COLUMN_GAP);
}
