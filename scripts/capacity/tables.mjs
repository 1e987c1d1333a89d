/** Creates the tables of docs/CAPACITY.md. */
import {createEntryTables} from './entry_tables.mjs';
import {formatFigure, formatTable} from './format.mjs';
import {createLimitTable} from './limit_table.mjs';
import {createLogTable} from './log_table.mjs';
import {createSlopeLookup} from './model.mjs';
import {createRoleTables} from './role_tables.mjs';

/** Creates the Markdown text of each table by the name of its markers. */
export function createTables(report) {
  const slopes = createSlopeLookup(report);
  return {
    machine: describeRun(report),
    slopes: createSlopeTable(report),
    ...createRoleTables(slopes),
    ...createEntryTables(slopes),
    limits: createLimitTable(slopes),
    log: createLogTable(slopes),
  };
}

function describeRun({date, machine, seconds}) {
  const {processor, cores, node, kernel} = machine;
  return `Measured at ${date} on ${cores} cores (${processor}), Linux ${kernel}, Node ${node}, in ${seconds} s.`;
}

function createSlopeTable({slopes}) {
  const rows = slopes.map(slope => [
    `\`${slope.id}\``,
    slope.measured,
    slope.over,
    `${formatFigure(slope.intercept)} + ${formatFigure(slope.slope)} x`,
    slope.points
      .map(({x, y}) => `${formatFigure(x)}: ${formatFigure(y)}`)
      .join('; '),
    `${formatFigure(slope.residual * 100)}%`,
  ]);
  const headers = ['slope', 'measured', 'over x', 'line', 'points', 'residual'];
  return formatTable(headers, rows);
}
