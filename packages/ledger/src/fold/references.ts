/** Checks that the entities of a configuration name only entities that exist. */
import type {
  Configuration,
  Edit,
  Entity,
  Target,
  Workspace,
} from '@galenavalve/model';

/**
 * The first name that leads nowhere, as a sentence; undefined when there is
 * none. Only edited entities are checked, unless an edit removes something
 * that others may name.
 */
export function findReferenceProblem(
  next: Configuration,
  edits: readonly Edit[],
): string | undefined {
  const isAnyRemoved = edits.some(({value}) => value === null);
  const entities = isAnyRemoved
    ? [...next.targets.values(), ...next.workspaces.values()]
    : edits.flatMap(({value}) => value ?? []);
  for (const entity of entities) {
    const problem = findProblem(next, entity);
    if (problem) {
      return problem;
    }
  }
  return undefined;
}

function findProblem(next: Configuration, entity: Entity): string | undefined {
  switch (entity.kind) {
    case 'target':
      return findTargetProblem(next, entity);
    case 'workspace':
      return findWorkspaceProblem(next, entity);
    default:
      return undefined;
  }
}

function findTargetProblem(
  {domains, workspaces}: Configuration,
  target: Target,
): string | undefined {
  if (!domains.has(target.domain)) {
    return `target ${target.id} names the unknown failure domain ${target.domain}`;
  }
  const unknown = target.permittedWorkspaces?.find(id => !workspaces.has(id));
  return unknown === undefined
    ? undefined
    : `target ${target.id} names the unknown workspace ${unknown}`;
}

function findWorkspaceProblem(
  {domains}: Configuration,
  {id, guarantees, permittedDomains = []}: Workspace,
): string | undefined {
  const guaranteed = guarantees.flatMap(({domain}) => domain ?? []);
  const unknown = [...guaranteed, ...permittedDomains].find(
    domain => !domains.has(domain),
  );
  return unknown === undefined
    ? undefined
    : `workspace ${id} names the unknown failure domain ${unknown}`;
}
