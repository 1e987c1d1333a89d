/** Formats the figures of the policy benchmark as a table. */
import type {Payoff} from './payoff.js';

/** Figures of one stream under one policy. */
export interface StreamFigures extends Payoff {
  profile: string;
  pattern: string;
  policy: string;
  seed: number;
  /** Upper bound of `whole` by relaxation. */
  ceiling: number;
  runs: number;
  stopped: number;
  violations: number;
}

/** Means over the seeds of one pattern and policy. */
export interface PatternFigures extends StreamFigures {
  seeds: number;
  /** Standard error of the mean of `total`. */
  error: number;
}

/** Averages the figures of each profile, pattern and policy. */
export function averageFigures(
  figures: readonly StreamFigures[],
): PatternFigures[] {
  const groups = new Map<string, StreamFigures[]>();
  for (const item of figures) {
    const key = `${item.profile} ${item.pattern} ${item.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), item]);
  }
  return [...groups.values()].map(averageGroup);
}

/** Formats one line for each profile, pattern and policy. */
export function formatReport(rows: readonly PatternFigures[]): string {
  const header =
    'profile pattern          policy           total   error  whole  ceiling  windows  kind   domain wspace lost   refused late  failed stopped broken';
  const lines = rows.map(row =>
    [
      row.profile.padEnd(7),
      row.pattern.padEnd(16),
      row.policy.padEnd(16),
      row.total.toFixed(3),
      row.error.toFixed(3).padStart(7),
      row.whole.toFixed(3).padStart(6),
      row.ceiling.toFixed(3).padStart(8),
      row.worstWindows.toFixed(3).padStart(8),
      row.worstKind.toFixed(3).padStart(6),
      row.worstDomain.toFixed(3).padStart(6),
      row.worstWorkspace.toFixed(3).padStart(6),
      row.lostWorkPrice.toFixed(3).padStart(6),
      row.refused.toFixed(1).padStart(6),
      row.late.toFixed(1).padStart(6),
      row.failed.toFixed(1).padStart(6),
      row.stopped.toFixed(0).padStart(7),
      String(row.violations).padStart(6),
    ].join(' '),
  );
  return [header, ...lines].join('\n');
}

function averageGroup(group: readonly StreamFigures[]): PatternFigures {
  const mean = (value: (item: StreamFigures) => number) =>
    group.reduce((sum, item) => sum + value(item), 0) / group.length;
  const total = mean(item => item.total);
  const variance =
    group.reduce((sum, item) => sum + (item.total - total) ** 2, 0) /
    Math.max(1, group.length - 1);
  const {profile, pattern, policy, seed} = group[0]!;
  return {
    profile,
    pattern,
    policy,
    seed,
    seeds: group.length,
    total,
    error: Math.sqrt(variance / group.length),
    whole: mean(item => item.whole),
    ceiling: mean(item => item.ceiling),
    worstWindows: mean(item => item.worstWindows),
    worstKind: mean(item => item.worstKind),
    worstDomain: mean(item => item.worstDomain),
    worstWorkspace: mean(item => item.worstWorkspace),
    lostWorkPrice: mean(item => item.lostWorkPrice),
    refused: mean(item => item.refused),
    late: mean(item => item.late),
    failed: mean(item => item.failed),
    runs: mean(item => item.runs),
    stopped: mean(item => item.stopped),
    violations: group.reduce((sum, item) => sum + item.violations, 0),
  };
}
