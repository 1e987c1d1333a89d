/**
 * Works out the tables of docs/CAPACITY.md from docs/capacity/slopes.json.
 * With `--check` it only tells whether the page is up to date.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';
import {tables} from './capacity/tables.mjs';

const PAGE = 'docs/CAPACITY.md';
const REPORT = 'docs/capacity/slopes.json';

const report = JSON.parse(readFileSync(REPORT, 'utf8'));
const page = readFileSync(PAGE, 'utf8');
const config = await resolveConfig(PAGE);
const renewed = await format(fillTables(page, tables(report)), {
  ...config,
  parser: 'markdown',
});
if (!process.argv.includes('--check')) {
  writeFileSync(PAGE, renewed);
} else if (renewed !== page) {
  console.error(`${PAGE} is out of date: run "node scripts/capacity.mjs"`);
  process.exitCode = 1;
}

/** Puts each table between the comments that name it. */
function fillTables(text, contents) {
  let filled = text;
  for (const [name, content] of Object.entries(contents)) {
    const block = new RegExp(
      `(<!-- begin ${name} -->)[\\s\\S]*?(<!-- end ${name} -->)`,
    );
    if (!block.test(filled)) {
      throw new Error(`${PAGE} has no place for the table "${name}"`);
    }
    filled = filled.replace(
      block,
      (_, begin, end) => `${begin}\n\n${content}\n\n${end}`,
    );
  }
  return filled;
}
