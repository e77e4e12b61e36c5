/**
 * Formats rows as a table with aligned columns for a terminal.
 *
 * @param rows The cells by row; the first row may hold headings.
 * @returns One line per row, each column as wide as its widest cell.
 */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  const lines = rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "),
  );
  return lines.map((line) => line.trimEnd()).join("\n");
}
