/** Formats the figures of policy runs as a table and a text plot. */
import {type RunFigures, computeMean} from './run_figures.js';

/** Figures of one policy in one scenario: means over the seeds, except the sum of violations and the longest wait. */
interface ReportRow {
  scenario: string;
  policy: string;
  mean: number;
  p50: number;
  p99: number;
  largeP99: number;
  fragmentation: number;
  goodput: number;
  reclaimP99: number;
  violations: number;
  largeWait: number;
  bound: number;
}

const BAR_WIDTH_CHARS = 40;

/** Formats the figures, with one table and one plot for each deployment. */
export function formatReport(runs: readonly RunFigures[]): string {
  const names = [...new Set(runs.map(run => run.deployment))];
  return names
    .map(name => {
      const rows = createRows(runs.filter(run => run.deployment === name));
      return [`# ${name}`, formatTable(rows), '', formatPlot(rows)].join('\n');
    })
    .join('\n\n');
}

function createRows(runs: readonly RunFigures[]): ReportRow[] {
  const groups = new Map<string, RunFigures[]>();
  for (const run of runs) {
    const key = `${run.scenario} ${run.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), run]);
  }
  return [...groups.values()].map(group => {
    const mean = (value: (run: RunFigures) => number) =>
      computeMean(group.map(value));
    return {
      scenario: group[0]!.scenario,
      policy: group[0]!.policy,
      mean: mean(run => run.completionSeconds.mean),
      p50: mean(run => run.completionSeconds.p50),
      p99: mean(run => run.completionSeconds.p99),
      largeP99: mean(run => run.completionSeconds.largeP99),
      fragmentation: mean(run => run.fragmentation),
      goodput: mean(run => run.goodput),
      reclaimP99: mean(run => run.reclaimSeconds.p99),
      violations: group.reduce((sum, run) => sum + run.promiseViolations, 0),
      largeWait: Math.max(...group.map(run => run.largeWaitSeconds)),
      bound: mean(run => run.boundMean),
    };
  });
}

function formatTable(rows: readonly ReportRow[]): string {
  const header =
    'scenario             policy        mean   bound     p50      p99  large p99  fragm.  goodput  reclaim p99  violations  large wait';
  const lines = rows.map(row =>
    [
      row.scenario.padEnd(20),
      row.policy.padEnd(12),
      row.mean.toFixed(0).padStart(5),
      row.bound.toFixed(0).padStart(7),
      row.p50.toFixed(0).padStart(7),
      row.p99.toFixed(0).padStart(8),
      row.largeP99.toFixed(0).padStart(10),
      row.fragmentation.toFixed(4).padStart(7),
      row.goodput.toFixed(3).padStart(8),
      row.reclaimP99.toFixed(1).padStart(12),
      String(row.violations).padStart(11),
      row.largeWait.toFixed(0).padStart(11),
    ].join(' '),
  );
  return [header, ...lines].join('\n');
}

/** Formats mean completion times as bars; `|` marks the lower bound. */
function formatPlot(rows: readonly ReportRow[]): string {
  const longest = Math.max(...rows.map(row => row.mean));
  const scale = (value: number) =>
    Math.round((value / longest) * BAR_WIDTH_CHARS);
  const lines = rows.map(row => {
    const bar = '#'.repeat(scale(row.mean)).padEnd(BAR_WIDTH_CHARS).split('');
    bar[Math.min(BAR_WIDTH_CHARS - 1, scale(row.bound))] = '|';
    const name = `${row.scenario.padEnd(20)} ${row.policy.padEnd(12)}`;
    return `${name} ${bar.join('')} ${row.mean.toFixed(0)} s`;
  });
  return ['mean completion time', ...lines].join('\n');
}
