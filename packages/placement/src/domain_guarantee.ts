/** Guarantees of workspaces in one failure domain, and their shortfalls. */
import type {CellLevel} from '@galenavalve/model';

/** A number of cells of one level that are guaranteed to a workspace in one failure domain. */
export interface DomainGuarantee {
  workspace: string;
  level: CellLevel;
  count: number;
}

/** Cell levels, from the largest to the smallest. */
export const LEVELS_LARGEST_FIRST: readonly CellLevel[] = [
  'domain',
  'rack',
  'target',
  'half',
  'accelerator',
];

/** A guarantee of which some cells cannot be placed. */
export interface Shortfall extends DomainGuarantee {
  domain: string;
  /** Cells that can be placed, of the `count` that are guaranteed. */
  satisfiable: number;
}

/** Numbers of cells, by level. */
export type LevelCounts = Record<CellLevel, number>;

/** Creates counts of zero for every level. */
export function createLevelCounts(): LevelCounts {
  return {domain: 0, rack: 0, target: 0, half: 0, accelerator: 0};
}
