/** The tables of docs/CAPACITY.md. */
import {entryTables} from './entry_tables.mjs';
import {figure, table} from './format.mjs';
import {limitTable} from './limit_table.mjs';
import {logTable} from './log_table.mjs';
import {slopesOf} from './model.mjs';
import {roleTables} from './role_tables.mjs';

/** All tables by name. */
export function tables(report) {
  const slopes = slopesOf(report);
  return {
    machine: describeRun(report),
    slopes: slopeTable(report),
    ...roleTables(slopes),
    ...entryTables(slopes),
    limits: limitTable(slopes),
    log: logTable(slopes),
  };
}

function describeRun({date, machine, seconds}) {
  const {processor, cores, node, kernel} = machine;
  return `Measured at ${date} on ${cores} cores (${processor}), Linux ${kernel}, Node ${node}, in ${seconds} s.`;
}

function slopeTable({slopes}) {
  const rows = slopes.map(slope => [
    `\`${slope.id}\``,
    slope.measured,
    slope.over,
    `${figure(slope.intercept)} + ${figure(slope.slope)} x`,
    slope.points.map(({x, y}) => `${figure(x)}: ${figure(y)}`).join('; '),
    `${figure(slope.residual * 100)}%`,
  ]);
  const heads = ['slope', 'measured', 'over x', 'line', 'points', 'residual'];
  return table(heads, rows);
}
