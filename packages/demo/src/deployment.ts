/** Deployment of the demonstration, with the sizes of Kestrelway Junior Travel Desk. */
import type {Entity, Target} from '@galenavalve/model';
import {entity} from '@galenavalve/model';

/** Failure domains, all in one region. */
export const DOMAINS = ['za-1', 'za-2', 'za-3'] as const;

/** Number of targets of each failure domain. */
const TARGETS_PER_DOMAIN = 10;

/** Number of targets of each rack; the last rack of a domain may have fewer. */
const TARGETS_PER_RACK = 8;

/** Capacity of each target. */
const ACCELERATORS = 8;
const SLOTS = 8;
const PROCESSORS = 64;
const MEMORY_MB = 130 * 1024;

/** Default largest number of waiting jobs of a workspace. */
const DEFAULT_QUEUE_LIMIT = 1_000;

/** Lists the ids of the targets of a failure domain. */
export function listTargets(domain: string): string[] {
  return Array.from(
    {length: TARGETS_PER_DOMAIN},
    (_, index) => `${domain}-t${String(index + 1).padStart(2, '0')}`,
  );
}

/**
 * Creates the whole configuration. `targetUrls` holds the base URL of the target
 * stand-in of each domain.
 */
export function createConfiguration(
  targetUrls: ReadonlyMap<string, string>,
  queueLimit = DEFAULT_QUEUE_LIMIT,
): Entity[] {
  const entities: unknown[] = [{kind: 'rules', checkpointGraceSeconds: 1}];
  for (const domain of DOMAINS) {
    entities.push({kind: 'domain', id: domain, region: 'za'});
    entities.push(...createTargets(domain, targetUrls.get(domain) ?? ''));
  }
  entities.push(...createWorkspaces(queueLimit));
  return entities.map(value => entity.parse(value));
}

function createTargets(domain: string, url: string): Target[] {
  return listTargets(domain).map((id, index) => ({
    kind: 'target',
    id,
    domain,
    rack: `${domain}-r${Math.floor(index / TARGETS_PER_RACK) + 1}`,
    endpoint: `${url}/targets/${id}`,
    accelerators: ACCELERATORS,
    processors: PROCESSORS,
    memoryMb: MEMORY_MB,
    slots: SLOTS,
    state: 'in-service',
  }));
}

function createWorkspaces(queueLimit: number): unknown[] {
  const fourTargets = {level: 'target', count: 4};
  const workspaces = [
    {
      kind: 'workspace',
      id: 'handover-plans',
      weight: 4,
      guarantees: DOMAINS.map(domain => ({...fourTargets, domain})),
    },
    {
      kind: 'workspace',
      id: 'reshuffles',
      weight: 3,
      guarantees: DOMAINS.map(domain => ({level: 'target', count: 2, domain})),
    },
    {
      kind: 'workspace',
      id: 'identity-checks',
      weight: 1,
      guarantees: DOMAINS.map(domain => ({level: 'half', count: 1, domain})),
    },
    {kind: 'workspace', id: 'reports', weight: 1},
  ];
  return workspaces.map(workspace => ({...workspace, queueLimit}));
}
