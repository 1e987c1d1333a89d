/** Defines the two deployments of the policy benchmark, with the cluster sizes that their users specified. */
import {
  type Adjacency,
  type Configuration,
  type Domain,
  type Guarantee,
  type Target,
  type Workspace,
  DEFAULT_RULES,
} from '@galenavalve/model';

/** Kind of job, with its size, run time and submitters. */
export interface JobKind {
  name: string;
  /** Share of the offered work, which is measured in accelerator seconds. */
  workShare: number;
  /** Possible numbers of tasks; each job draws one with equal probability. */
  tasks: readonly number[];
  acceleratorsPerTask: number;
  adjacency: Adjacency;
  /** Median run time, in seconds. */
  medianSeconds: number;
  checkpointable: boolean;
  /** Share of these jobs by the workspace that submits them. */
  workspaces: Readonly<Record<string, number>>;
}

/** Targets, workspaces and kinds of jobs of one user. */
export interface Deployment {
  name: string;
  /** Processors of one target. */
  processors: number;
  /** Memory of one target, in MB. */
  memoryMb: number;
  guarantees: Readonly<Record<string, Guarantee[]>>;
  kinds: readonly JobKind[];
}

const DOMAIN_IDS = ['d1', 'd2', 'd3'];
const TARGETS_PER_DOMAIN = 10;
const TARGETS_PER_RACK = 8;
const ACCELERATORS_PER_TARGET = 8;

/** Deployment with many short jobs and few large ones, submitted by four teams. */
const KESTRELWAY: Deployment = {
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

/** Deployment with large layout jobs of the head office and small preview jobs of the workshops. */
const TXINGUDI: Deployment = {
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

/** Deployments on which policies are compared. */
export const DEPLOYMENTS: readonly Deployment[] = [KESTRELWAY, TXINGUDI];

/** Creates the configuration of a deployment: three domains, their targets and its workspaces. */
export function createDeploymentConfiguration(
  deployment: Deployment,
): Configuration {
  const domains = new Map<string, Domain>();
  const targets = new Map<string, Target>();
  const workspaces = new Map<string, Workspace>();
  for (const id of DOMAIN_IDS) {
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

/** Accelerators of all targets of a deployment. */
export const TOTAL_ACCELERATORS =
  DOMAIN_IDS.length * TARGETS_PER_DOMAIN * ACCELERATORS_PER_TARGET;

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
    accelerators: ACCELERATORS_PER_TARGET,
    processors,
    memoryMb,
    slots: ACCELERATORS_PER_TARGET,
    state: 'in-service',
  };
}
