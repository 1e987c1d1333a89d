/** What is promised to workspaces in one failure domain. */
import type {CellLevel} from '@galenavalve/model';

/** A number of cells of one level that a workspace is promised in one failure domain. */
export interface DomainGuarantee {
  workspace: string;
  level: CellLevel;
  count: number;
}

/** Levels from the largest cell to the smallest. */
export const LEVELS_LARGEST_FIRST: readonly CellLevel[] = [
  'domain',
  'rack',
  'target',
  'half',
  'accelerator',
];

/** A promise that cannot be kept whole. */
export interface Shortfall extends DomainGuarantee {
  domain: string;
  /** Cells that can be had, of the `count` that are promised. */
  satisfiable: number;
}

/** Counts by level. */
export type LevelCounts = Record<CellLevel, number>;

/** No cells of any level. */
export function createLevelCounts(): LevelCounts {
  return {domain: 0, rack: 0, target: 0, half: 0, accelerator: 0};
}
