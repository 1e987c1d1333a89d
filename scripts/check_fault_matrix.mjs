/** Checks that every test which docs/fault-matrix.md names exists, and that every cell names a known test. */
import {existsSync, readFileSync} from 'node:fs';

const PAGE = 'docs/fault-matrix.md';
const UNPROVED = '-';

const lines = readFileSync(PAGE, 'utf8').split('\n');
const tests = readTests(lines);
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

/** The rows of the table of tests, by id. */
function readTests(page) {
  const rows = page.filter(line => /^\| [A-Z]+\d+ +\| `packages\//.test(line));
  return new Map(
    rows
      .map(splitRow)
      .map(([id, file, name]) => [id, {file: file.replaceAll('`', ''), name}]),
  );
}

function* checkTests(known) {
  if (known.size === 0) {
    yield 'names no tests';
  }
  for (const [id, {file, name}] of known) {
    if (!existsSync(file)) {
      yield `${id}: ${file} does not exist`;
    } else if (!readFileSync(file, 'utf8').includes(name)) {
      yield `${id}: ${file} has no test "${name}"`;
    }
  }
}

function* checkCells(page, known) {
  const head = page.findIndex(line => line.startsWith('| step'));
  if (head < 0) {
    yield 'has no matrix';
    return;
  }
  const columns = splitRow(page[head]).length;
  for (const line of page.slice(head + 2)) {
    if (!line.startsWith('|')) {
      return;
    }
    const [step, , ...cells] = splitRow(line);
    if (cells.length !== columns - 2) {
      yield `${step}: has ${cells.length} cells`;
    }
    for (const id of cells.flatMap(cell => cell.split(/\s+/))) {
      if (id !== UNPROVED && !/^x[1-4]$/.test(id) && !known.has(id)) {
        yield `${step}: ${id} is not a known test`;
      }
    }
  }
}
