/** Checks that every test listed in docs/fault-matrix.md exists, and that every cell of the matrix names a listed test. */
import {existsSync, readFileSync} from 'node:fs';

const PAGE = 'docs/fault-matrix.md';
/** Content of a cell that no test covers. */
const UNCOVERED = '-';

const lines = readFileSync(PAGE, 'utf8').split('\n');
const tests = parseTests(lines);
const problems = [...checkTests(tests), ...checkCells(lines, tests)];
for (const problem of problems) {
  console.log(`${PAGE}: ${problem}`);
}
process.exitCode = problems.length === 0 ? 0 : 1;

function splitRow(line) {
  return line
    .split('|')
    .slice(1, -1)
    .map(cell => cell.trim());
}

/** Parses the table of tests into a map from test id to file and test name. */
function parseTests(pageLines) {
  const rows = pageLines.filter(line =>
    /^\| [A-Z]+\d+ +\| `packages\//.test(line),
  );
  return new Map(
    rows
      .map(splitRow)
      .map(([id, file, name]) => [id, {file: file.replaceAll('`', ''), name}]),
  );
}

function* checkTests(listedTests) {
  if (listedTests.size === 0) {
    yield 'names no tests';
  }
  for (const [id, {file, name}] of listedTests) {
    if (!existsSync(file)) {
      yield `${id}: ${file} does not exist`;
    } else if (!readFileSync(file, 'utf8').includes(name)) {
      yield `${id}: ${file} has no test "${name}"`;
    }
  }
}

function* checkCells(pageLines, listedTests) {
  const headerIndex = pageLines.findIndex(line => line.startsWith('| step'));
  if (headerIndex < 0) {
    yield 'has no matrix';
    return;
  }
  const columnCount = splitRow(pageLines[headerIndex]).length;
  for (const line of pageLines.slice(headerIndex + 2)) {
    if (!line.startsWith('|')) {
      return;
    }
    const [step, , ...cells] = splitRow(line);
    if (cells.length !== columnCount - 2) {
      yield `${step}: has ${cells.length} cells`;
    }
    for (const id of cells.flatMap(cell => cell.split(/\s+/))) {
      if (id !== UNCOVERED && !/^x[1-4]$/.test(id) && !listedTests.has(id)) {
        yield `${step}: ${id} is not a known test`;
      }
    }
  }
}
