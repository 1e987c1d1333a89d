/** Checks that the entities of a configuration name only entities that exist. */
import type {Configuration, Target, Workspace} from '@galenavalve/model';

/**
 * The first name that leads nowhere, as a sentence; undefined when there is
 * none. Entities that are the same in `previous` are checked only if the
 * entities that they could name have changed.
 */
export function findReferenceProblem(
  next: Configuration,
  previous: Configuration,
): string | undefined {
  const isNameRemoved =
    isAnyRemoved(previous.domains, next.domains) ||
    isAnyRemoved(previous.workspaces, next.workspaces);
  for (const target of next.targets.values()) {
    if (isNameRemoved || previous.targets.get(target.id) !== target) {
      const problem = findTargetProblem(next, target);
      if (problem) {
        return problem;
      }
    }
  }
  for (const workspace of next.workspaces.values()) {
    const problem = findWorkspaceProblem(next, workspace);
    if (problem) {
      return problem;
    }
  }
  return undefined;
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

function isAnyRemoved(
  previous: ReadonlyMap<string, unknown>,
  next: ReadonlyMap<string, unknown>,
): boolean {
  if (previous === next) {
    return false;
  }
  for (const id of previous.keys()) {
    if (!next.has(id)) {
      return true;
    }
  }
  return false;
}
