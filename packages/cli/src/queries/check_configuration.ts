/** Implements `galenavalve check`. */
import {applyEntry, LedgerState} from '@galenavalve/ledger';
import {type Entity, getEntityKey, RECORD_VERSION} from '@galenavalve/model';
import {findGuaranteeFailure} from '@galenavalve/placement';
import {ExitCode} from '../exit_code.js';
import {readDesiredConfiguration} from '../input/desired_configuration.js';
import {formatCount} from '../output/format.js';
import type {OfflineCommandContext} from '../command_context.js';

/** Result of a check. */
export interface CheckResult {
  /** Number of entities by kind. */
  counts: Record<string, number>;
  /** Total accelerators of all targets. */
  accelerators: number;
  /** Reason for which the configuration would be rejected; undefined if it would be accepted. */
  problem?: string;
}

/** Checks whether the daemons of an empty cluster would accept a configuration file. */
export async function checkConfiguration(
  {output}: OfflineCommandContext,
  file: string,
): Promise<ExitCode> {
  const desired = readDesiredConfiguration(file);
  const entities = [...desired.entities.values()].map(({value}) => value);
  const problem = findConfigurationProblem(entities);
  const result: CheckResult = {...countEntities(entities), problem};
  output.printResult(result, renderCheckResult);
  return problem === undefined ? ExitCode.ok : ExitCode.rejected;
}

/**
 * Applies the file as the first record of a log, as every daemon would. Returns
 * the reason of a rejection.
 */
function findConfigurationProblem(
  entities: readonly Entity[],
): string | undefined {
  const edits = entities.map(value => ({
    entity: getEntityKey(value),
    baseVersion: 0,
    value,
  }));
  const change = {changeId: 'check', author: 'check', edits};
  const header = {v: RECORD_VERSION, recordId: 'check', at: 0, by: 'check'};
  const value = {...header, type: 'configured', change};
  const state = new LedgerState({validateConfiguration: findGuaranteeFailure});
  const {accepted, rejection, problem} = applyEntry(state, {offset: 0, value});
  return accepted ? undefined : (problem?.message ?? rejection);
}

function countEntities(
  entities: readonly Entity[],
): Pick<CheckResult, 'counts' | 'accelerators'> {
  const counts: Record<string, number> = {};
  let accelerators = 0;
  for (const value of entities) {
    counts[value.kind] = (counts[value.kind] ?? 0) + 1;
    accelerators += value.kind === 'target' ? value.accelerators : 0;
  }
  return {counts, accelerators};
}

function renderCheckResult({
  counts,
  accelerators,
  problem,
}: CheckResult): string {
  if (problem !== undefined) {
    return problem;
  }
  const kinds = Object.entries(counts)
    .filter(([kind]) => kind !== 'rules')
    .map(([kind, count]) => formatCount(count, kind));
  return `${[...kinds, formatCount(accelerators, 'accelerator')].join(', ')}: no problems`;
}
