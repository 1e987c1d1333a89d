/** The two deployments of the benchmark, with the sizes of the users' letters. */
import {
  type Adjacency,
  type Configuration,
  type Domain,
  type Guarantee,
  type Target,
  type Workspace,
  DEFAULT_RULES,
} from '@galenavalve/model';

/** A class of jobs. */
export interface JobKind {
  name: string;
  /** Share of the offered work, in accelerator seconds. */
  workShare: number;
  /** Numbers of tasks, one of which is chosen for each job. */
  tasks: readonly number[];
  acceleratorsPerTask: number;
  adjacency: Adjacency;
  /** Median run time, in seconds. */
  medianSeconds: number;
  checkpointable: boolean;
  /** Workspaces that submit such jobs, with their shares. */
  workspaces: Readonly<Record<string, number>>;
}

/** A user's workspaces and jobs. */
export interface Deployment {
  name: string;
  processors: number;
  memoryMb: number;
  guarantees: Readonly<Record<string, Guarantee[]>>;
  kinds: readonly JobKind[];
}

const DOMAINS = ['d1', 'd2', 'd3'];
const TARGETS_PER_DOMAIN = 10;
const TARGETS_PER_RACK = 8;
const ACCELERATORS = 8;

/** Many short jobs of four teams; a few large ones. */
const kestrelway: Deployment = {
  name: 'kestrelway',
  processors: 64,
  memoryMb: 130_000,
  guarantees: {
    escorts: [{level: 'rack', count: 1}],
    rebooking: [{level: 'target', count: 4}],
    identity: [{level: 'half', count: 6}],
    reports: [{level: 'target', count: 1}],
  },
  kinds: [
    {
      name: 'check',
      workShare: 0.2,
      tasks: [1, 1, 2],
      acceleratorsPerTask: 1,
      adjacency: 'target',
      medianSeconds: 300,
      checkpointable: false,
      workspaces: {identity: 0.6, reports: 0.2, rebooking: 0.2},
    },
    {
      name: 'reshuffle',
      workShare: 0.3,
      tasks: [4, 8],
      acceleratorsPerTask: 1,
      adjacency: 'rack',
      medianSeconds: 600,
      checkpointable: true,
      workspaces: {rebooking: 0.5, escorts: 0.3, reports: 0.2},
    },
    {
      name: 'season',
      workShare: 0.5,
      tasks: [16, 32, 48],
      acceleratorsPerTask: 1,
      adjacency: 'rack',
      medianSeconds: 900,
      checkpointable: true,
      workspaces: {escorts: 0.7, rebooking: 0.3},
    },
  ],
};

/** Large layout jobs of the head office, and small previews of the workshops. */
const txingudi: Deployment = {
  name: 'txingudi',
  processors: 32,
  memoryMb: 64_000,
  guarantees: {
    office: [{level: 'rack', count: 1}],
    layouts: [{level: 'target', count: 6}],
    previews: [{level: 'half', count: 4}],
    tension: [{level: 'half', count: 4}],
  },
  kinds: [
    {
      name: 'preview',
      workShare: 0.2,
      tasks: [1, 2, 3],
      acceleratorsPerTask: 1,
      adjacency: 'target',
      medianSeconds: 400,
      checkpointable: false,
      workspaces: {previews: 0.7, tension: 0.3},
    },
    {
      name: 'tension',
      workShare: 0.2,
      tasks: [2, 4],
      acceleratorsPerTask: 2,
      adjacency: 'target',
      medianSeconds: 600,
      checkpointable: false,
      workspaces: {tension: 0.6, layouts: 0.4},
    },
    {
      name: 'layout',
      workShare: 0.6,
      tasks: [2, 4, 6],
      acceleratorsPerTask: 8,
      adjacency: 'rack',
      medianSeconds: 1800,
      checkpointable: true,
      workspaces: {office: 0.6, layouts: 0.4},
    },
  ],
};

/** Both deployments. */
export const DEPLOYMENTS: readonly Deployment[] = [kestrelway, txingudi];

/** The configuration of a deployment. */
export function createDeploymentConfiguration(
  deployment: Deployment,
): Configuration {
  const domains = new Map<string, Domain>();
  const targets = new Map<string, Target>();
  const workspaces = new Map<string, Workspace>();
  for (const id of DOMAINS) {
    domains.set(id, {kind: 'domain', id, region: 'r1', state: 'in-service'});
    for (let i = 0; i < TARGETS_PER_DOMAIN; i++) {
      const target = createTarget(deployment, id, i);
      targets.set(target.id, target);
    }
  }
  for (const [id, guarantees] of Object.entries(deployment.guarantees)) {
    workspaces.set(id, {
      kind: 'workspace',
      id,
      weight: 1,
      guarantees,
      queueLimit: 100_000,
      requiresApproval: false,
    });
  }
  return {domains, targets, workspaces, rules: DEFAULT_RULES};
}

/** Accelerators of all targets. */
export const TOTAL_ACCELERATORS =
  DOMAINS.length * TARGETS_PER_DOMAIN * ACCELERATORS;

function createTarget(
  {processors, memoryMb}: Deployment,
  domain: string,
  index: number,
): Target {
  return {
    kind: 'target',
    id: `${domain}-t${index}`,
    domain,
    rack: `${domain}-r${Math.floor(index / TARGETS_PER_RACK)}`,
    endpoint: 'http://127.0.0.1:1',
    accelerators: ACCELERATORS,
    processors,
    memoryMb,
    slots: ACCELERATORS,
    state: 'in-service',
  };
}
