/**
 * Computes the tables of docs/CAPACITY.md from docs/capacity/slopes.json.
 * With `--check` the page is not written, and the exit code is 1 when it is out of date.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';
import {createTables} from './capacity/tables.mjs';

const PAGE = 'docs/CAPACITY.md';
const REPORT = 'docs/capacity/slopes.json';

const report = JSON.parse(readFileSync(REPORT, 'utf8'));
const page = readFileSync(PAGE, 'utf8');
const config = await resolveConfig(PAGE);
const updatedPage = await format(fillTables(page, createTables(report)), {
  ...config,
  parser: 'markdown',
});
if (!process.argv.includes('--check')) {
  writeFileSync(PAGE, updatedPage);
} else if (updatedPage !== page) {
  console.error(`${PAGE} is out of date: run "node scripts/capacity.mjs"`);
  process.exitCode = 1;
}

/** Replaces the text between the begin and end markers of each table; throws when a table has no markers. */
function fillTables(text, contents) {
  let filled = text;
  for (const [name, content] of Object.entries(contents)) {
    const block = new RegExp(
      `(<!-- begin ${name} -->)[\\s\\S]*?(<!-- end ${name} -->)`,
    );
    if (!block.test(filled)) {
      throw new Error(`${PAGE} has no markers for the table "${name}"`);
    }
    filled = filled.replace(
      block,
      (_, begin, end) => `${begin}\n\n${content}\n\n${end}`,
    );
  }
  return filled;
}
