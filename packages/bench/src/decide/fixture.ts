/** Creates large domains with running gangs, in which `bench decide` measures single decisions. */
import {
  type Configuration,
  type Domain,
  type GangShape,
  type Target,
  type Workspace,
  DEFAULT_RULES,
} from '@galenavalve/model';
import {Cells, type WaitingJob, findBestFit} from '@galenavalve/placement';

/** Size of one measured domain. */
export interface DecideSize {
  targets: number;
  workspaces: number;
  /** Number of running tasks. */
  tasks: number;
}

const TARGETS_PER_RACK = 8;
const ACCELERATORS_PER_TARGET = 8;
const SLOTS_PER_TARGET = 32;
/** Number of racks that stay free for the measured gang. */
const FREE_RACKS = 64;
/** Share of the targets that is guaranteed to workspaces. */
const GUARANTEED_TARGET_SHARE = 0.5;

/** Creates a domain with running tasks; up to 64 of the last racks stay free, and at most half of all racks. */
export function createFilledCells(size: DecideSize): Cells {
  const cells = new Cells('d', createConfiguration(size));
  const racks = [...cells.racks.values()];
  const freeRacks = Math.min(FREE_RACKS, Math.floor(racks.length / 2));
  const usedRacks = racks.slice(0, racks.length - freeRacks);
  const targets = usedRacks.flatMap(rack => rack.targets);
  let taskCount = 0;
  for (
    let round = 0;
    taskCount < size.tasks && round < SLOTS_PER_TARGET;
    round++
  ) {
    for (const target of targets) {
      if (taskCount < size.tasks) {
        const mask = round < ACCELERATORS_PER_TARGET ? 1 << round : 0;
        addSingleTaskGang(cells, target.id, taskCount++, mask, size);
      }
    }
  }
  return cells;
}

/** Creates a waiting job; tasks default to 1 and adjacency to `domain`. */
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

/** Returns whether a job fits into the free capacity of the domain. */
export function hasPlace(cells: Cells, job: WaitingJob): boolean {
  return findBestFit(cells, job) !== undefined;
}

function addSingleTaskGang(
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
  const guaranteedTargets = Math.max(
    1,
    Math.floor((targets * GUARANTEED_TARGET_SHARE) / workspaces),
  );
  const workspaceEntities = new Map<string, Workspace>();
  for (let i = 0; i < workspaces; i++) {
    workspaceEntities.set(`w${i}`, {
      kind: 'workspace',
      id: `w${i}`,
      weight: 1,
      guarantees: [{level: 'target', count: guaranteedTargets}],
      queueLimit: 1000,
      requiresApproval: false,
    });
  }
  return {
    domains: new Map([['d', domain]]),
    targets: inventory,
    workspaces: workspaceEntities,
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
    accelerators: ACCELERATORS_PER_TARGET,
    processors: 64,
    memoryMb: 130_000,
    slots: SLOTS_PER_TARGET,
    state: 'in-service',
  };
}
