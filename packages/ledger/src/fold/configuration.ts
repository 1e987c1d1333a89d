/** Folds configuration changes. */
import {isDeepStrictEqual} from 'node:util';
import {
  type Configuration,
  type ConfigurationChange,
  type Configured,
  type Edit,
  getEntityKey,
} from '@galenavalve/model';
import {Failure, ERROR_TEMPLATES} from '@galenavalve/shared';
import {
  ACCEPTED,
  DUPLICATE,
  type Rejection,
  type FoldDecision,
  reject,
} from '../fold_result.js';
import type {RecordedChange} from '../change_history.js';
import {parseEntityId, parseEntityKind} from '../configuration_store.js';
import type {LedgerState} from '../state.js';
import {findReferenceProblem} from './references.js';

/**
 * Folds a change. The first change of a version wins; a copy of a change gets
 * the same decision as the first.
 */
export function foldConfigured(
  state: LedgerState,
  record: Configured,
  offset: number,
): FoldDecision {
  const {change} = record;
  const earlier = state.changeHistory.get(change.changeId);
  if (earlier) {
    return createRepeatedDecision(earlier);
  }
  const problem = decideChange(state, change);
  state.changeHistory.add({
    changeId: change.changeId,
    author: change.author,
    offset,
    at: state.logTime.value,
    accepted: !problem,
    ...(problem && {problem: problem.toJSON()}),
    edits: change.edits.length,
    entities: change.edits.map(edit => edit.entity),
  });
  return problem ? reject(problem.code as Rejection, problem) : ACCEPTED;
}

/** Applies the change as a whole, or returns why it is rejected. */
function decideChange(
  state: LedgerState,
  change: ConfigurationChange,
): Failure | undefined {
  const problem =
    findConflict(state, change.edits) ?? findInvalidEdit(state, change.edits);
  if (problem) {
    return problem;
  }
  const next = state.configurationStore.preview(change.edits);
  const rejection = findConfigurationProblem(state, next, change.edits);
  if (!rejection) {
    state.configurationStore.commit(change.edits, next);
  }
  return rejection;
}

function findConflict(
  state: LedgerState,
  edits: readonly Edit[],
): Failure | undefined {
  const stale = edits.find(
    edit => !state.configurationStore.isCurrent(edit.entity, edit.baseVersion),
  );
  return (
    stale &&
    new Failure('config-conflict', {
      entity: stale.entity,
      baseVersion: stale.baseVersion,
      currentVersion: state.getEntityVersion(stale.entity),
    })
  );
}

function findInvalidEdit(
  state: LedgerState,
  edits: readonly Edit[],
): Failure | undefined {
  const seen = new Set<string>();
  for (const edit of edits) {
    const problem = seen.has(edit.entity)
      ? `${edit.entity} is edited twice`
      : findEditProblem(state, edit);
    if (problem) {
      return new Failure('config-invalid', {problem});
    }
    seen.add(edit.entity);
  }
  return undefined;
}

function findEditProblem(state: LedgerState, edit: Edit): string | undefined {
  const {entity: key, value} = edit;
  if (value) {
    return getEntityKey(value) === key
      ? findUseProblem(state, edit)
      : `the value of ${key} is that of ${getEntityKey(value)}`;
  }
  if (!state.getEntity(key)) {
    return `${key} does not exist`;
  }
  return findUseProblem(state, edit);
}

/**
 * Checks that the entity is not in use by an unfinished job, whose tasks could
 * then not be stopped.
 */
function findUseProblem(state: LedgerState, edit: Edit): string | undefined {
  const id = parseEntityId(edit.entity);
  const count = edit.value
    ? countActiveOnMovedTarget(state, edit)
    : countUnfinishedUsers(state, edit);
  return count
    ? `${parseEntityKind(edit.entity)} ${id} is still used by ${count} unfinished jobs`
    : undefined;
}

function countActiveOnMovedTarget(state: LedgerState, {value}: Edit): number {
  if (value?.kind !== 'target') {
    return 0;
  }
  const current = state.getTarget(value.id);
  return current && current.domain !== value.domain
    ? state.unfinishedJobs.countActiveOnTarget(value.id)
    : 0;
}

function countUnfinishedUsers(state: LedgerState, {entity: key}: Edit): number {
  const id = parseEntityId(key);
  switch (parseEntityKind(key)) {
    case 'domain':
      return state.unfinishedJobs.countUnfinishedInDomain(id);
    case 'target':
      return state.unfinishedJobs.countActiveOnTarget(id);
    case 'workspace':
      return state.unfinishedJobs.countUnfinishedInWorkspace(id);
    case 'rules':
      return 0;
  }
}

function findConfigurationProblem(
  state: LedgerState,
  next: Configuration,
  edits: readonly Edit[],
): Failure | undefined {
  const problem = findReferenceProblem(next, edits);
  if (problem) {
    return new Failure('config-invalid', {problem});
  }
  const hasOtherChanges = edits.some(
    edit => !isServiceStateChange(state, edit),
  );
  return hasOtherChanges
    ? state.options.validateConfiguration?.(next, state.configuration)
    : undefined;
}

function isServiceStateChange(state: LedgerState, edit: Edit): boolean {
  const current = state.getEntity(edit.entity)?.value;
  return (
    current !== undefined &&
    edit.value !== null &&
    isDeepStrictEqual(
      {...current, state: undefined},
      {...edit.value, state: undefined},
    )
  );
}

function createRepeatedDecision({
  accepted,
  problem,
}: RecordedChange): FoldDecision {
  if (accepted || !problem) {
    return DUPLICATE;
  }
  const code =
    problem.code in ERROR_TEMPLATES ? problem.code : 'config-invalid';
  return reject(code as Rejection, new Failure(code, problem.details));
}
