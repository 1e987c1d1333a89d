/** Large domains, filled with running gangs, for measurements of single decisions. */
import {
  type Configuration,
  type Domain,
  type GangShape,
  type Target,
  type Workspace,
  DEFAULT_RULES,
} from '@galenavalve/model';
import {Cells, type WaitingJob, findBestFit} from '@galenavalve/placement';

/** The size of one measured domain. */
export interface DecideSize {
  targets: number;
  workspaces: number;
  /** Running tasks. */
  tasks: number;
}

const TARGETS_PER_RACK = 8;
const ACCELERATORS = 8;
const SLOTS = 32;
/** Racks that stay free for the measured gang. */
const FREE_RACKS = 64;
/** Share of the targets that is promised. */
const PROMISED_SHARE = 0.5;

/** Fills a domain; the last racks stay free as far as the inventory allows. */
export function createFilledCells(size: DecideSize): Cells {
  const cells = new Cells('d', createConfiguration(size));
  const racks = [...cells.racks.values()];
  const freeRacks = Math.min(FREE_RACKS, Math.floor(racks.length / 2));
  const used = racks.slice(0, racks.length - freeRacks);
  const targets = used.flatMap(rack => rack.targets);
  let count = 0;
  for (let round = 0; count < size.tasks && round < SLOTS; round++) {
    for (const target of targets) {
      if (count < size.tasks) {
        const mask = round < ACCELERATORS ? 1 << round : 0;
        occupyOne(cells, target.id, count++, mask, size);
      }
    }
  }
  return cells;
}

/** A job of a workspace that waits. */
export function createWaitingJob(
  jobId: string,
  workspace: string,
  gang: Partial<GangShape> & {accelerators: number},
): WaitingJob {
  return {
    jobId,
    workspace,
    gang: {
      tasks: gang.tasks ?? 1,
      perTask: {
        accelerators: gang.accelerators,
        processors: 1,
        memoryMb: 256,
      },
      adjacency: gang.adjacency ?? 'domain',
    },
    kind: 'k',
    urgent: false,
    repeatable: true,
    checkpointable: true,
    expectedSeconds: 600,
    submittedAt: 0,
    avoidTargets: [],
  };
}

/** Whether the domain has a free place for a job. */
export function hasPlace(cells: Cells, job: WaitingJob): boolean {
  return findBestFit(cells, job) !== undefined;
}

function occupyOne(
  cells: Cells,
  target: string,
  index: number,
  accelerators: number,
  {workspaces}: DecideSize,
): void {
  const workspace = `w${index % workspaces}`;
  const job = createWaitingJob(`r${index}`, workspace, {
    accelerators: accelerators === 0 ? 0 : 1,
  });
  cells.addGang({
    ...job,
    assignments: [{target, firstTask: 0, tasks: 1, accelerators}],
    guaranteed: false,
    startedAt: -index * 1000,
    savedAt: -index * 1000,
    stopping: false,
  });
}

function createConfiguration({targets, workspaces}: DecideSize): Configuration {
  const domain: Domain = {
    kind: 'domain',
    id: 'd',
    region: 'r',
    state: 'in-service',
  };
  const inventory = new Map<string, Target>();
  for (let i = 0; i < targets; i++) {
    const target = createTarget(i);
    inventory.set(target.id, target);
  }
  const count = Math.max(
    1,
    Math.floor((targets * PROMISED_SHARE) / workspaces),
  );
  const customers = new Map<string, Workspace>();
  for (let i = 0; i < workspaces; i++) {
    customers.set(`w${i}`, {
      kind: 'workspace',
      id: `w${i}`,
      weight: 1,
      guarantees: [{level: 'target', count}],
      queueLimit: 1000,
      requiresApproval: false,
    });
  }
  return {
    domains: new Map([['d', domain]]),
    targets: inventory,
    workspaces: customers,
    rules: DEFAULT_RULES,
  };
}

function createTarget(index: number): Target {
  return {
    kind: 'target',
    id: `t${String(index).padStart(5, '0')}`,
    domain: 'd',
    rack: `r${String(Math.floor(index / TARGETS_PER_RACK)).padStart(5, '0')}`,
    endpoint: 'http://127.0.0.1:1',
    accelerators: ACCELERATORS,
    processors: 64,
    memoryMb: 130_000,
    slots: SLOTS,
    state: 'in-service',
  };
}
