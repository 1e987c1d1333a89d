/** Checks that the entities of a configuration refer only to entities that exist. */
import type {
  Configuration,
  Edit,
  Entity,
  Target,
  Workspace,
} from '@galenavalve/model';

/**
 * Returns a message about the first reference to an entity that does not exist;
 * undefined when there is none. Checks only edited entities, unless an edit
 * removes an entity that others may refer to.
 */
export function findReferenceProblem(
  next: Configuration,
  edits: readonly Edit[],
): string | undefined {
  const hasRemoval = edits.some(({value}) => value === null);
  const entities = hasRemoval
    ? [...next.targets.values(), ...next.workspaces.values()]
    : edits.flatMap(({value}) => value ?? []);
  for (const entity of entities) {
    const problem = findEntityProblem(next, entity);
    if (problem) {
      return problem;
    }
  }
  return undefined;
}

function findEntityProblem(
  next: Configuration,
  entity: Entity,
): string | undefined {
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
