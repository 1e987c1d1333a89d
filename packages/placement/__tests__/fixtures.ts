/** Fixtures for the specs of this package. */
import {
  type Configuration,
  type Domain,
  type GangShape,
  type Guarantee,
  type Rules,
  type Target,
  type Workspace,
  DEFAULT_RULES,
} from '@galenavalve/model';
import type {WaitingJob} from '../src/index.js';

/**
 * A domain of `racks` racks with `targetsPerRack` targets each, by default with
 * 8 accelerators per target.
 */
export interface DomainPlan {
  id: string;
  racks: number;
  targetsPerRack: number;
  accelerators?: number;
}

/** Creates a configuration in which all domains and targets are in service. */
export function createConfiguration(
  plans: DomainPlan[],
  guarantees: Record<string, Guarantee[]> = {w: []},
  rules: Partial<Rules> = {},
): Configuration {
  const domains = new Map<string, Domain>();
  const targets = new Map<string, Target>();
  for (const plan of plans) {
    domains.set(plan.id, {
      kind: 'domain',
      id: plan.id,
      region: 'r',
      state: 'in-service',
    });
    for (let rack = 0; rack < plan.racks; rack++) {
      for (let i = 0; i < plan.targetsPerRack; i++) {
        const target = createTarget(plan, rack, i);
        targets.set(target.id, target);
      }
    }
  }
  const workspaces = new Map<string, Workspace>();
  for (const [id, workspaceGuarantees] of Object.entries(guarantees)) {
    workspaces.set(id, createWorkspace(id, workspaceGuarantees));
  }
  return {domains, targets, workspaces, rules: {...DEFAULT_RULES, ...rules}};
}

/** Creates a workspace of weight 1. */
export function createWorkspace(
  id: string,
  guarantees: Guarantee[],
): Workspace {
  return {
    kind: 'workspace',
    id,
    weight: 1,
    guarantees,
    queueLimit: 1000,
    requiresApproval: false,
  };
}

/** Creates a job of workspace `w`, by default one task with one accelerator. */
export function createJob(
  jobId: string,
  gang: {
    tasks?: number;
    accelerators?: number;
    adjacency?: GangShape['adjacency'];
  },
  overrides: Partial<WaitingJob> = {},
): WaitingJob {
  return {
    jobId,
    workspace: 'w',
    gang: {
      tasks: gang.tasks ?? 1,
      perTask: {
        accelerators: gang.accelerators ?? 1,
        processors: 1,
        memoryMb: 256,
      },
      adjacency: gang.adjacency ?? 'domain',
    },
    kind: 'k',
    urgent: false,
    repeatable: true,
    checkpointable: false,
    expectedSeconds: 100,
    submittedAt: 0,
    avoidTargets: [],
    ...overrides,
  };
}

function createTarget(plan: DomainPlan, rack: number, index: number): Target {
  const accelerators = plan.accelerators ?? 8;
  return {
    kind: 'target',
    id: `${plan.id}-r${rack}-t${index}`,
    domain: plan.id,
    rack: `${plan.id}-r${rack}`,
    endpoint: 'http://127.0.0.1:1',
    accelerators,
    processors: accelerators * 8,
    memoryMb: accelerators * 16_384,
    slots: accelerators,
    state: 'in-service',
  };
}
