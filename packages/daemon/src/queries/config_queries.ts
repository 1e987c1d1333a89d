/** Queries for the configuration and its history. */
import {
  type ChangeListView,
  type VersionedEntity,
  getEntityKey,
} from '@galenavalve/model';
import type {DaemonContext} from '../daemon_context.js';

/** A versioned entity with its key. */
export interface KeyedEntity extends VersionedEntity {
  entity: string;
}

/** Returns every entity with its version, on which a change is based. */
export function viewConfiguration(context: DaemonContext): {
  offset: number;
  entities: KeyedEntity[];
} {
  const {domains, targets, workspaces, rules} = context.state.configuration;
  const keys = [
    ...domains.values(),
    ...targets.values(),
    ...workspaces.values(),
    rules,
  ].map(getEntityKey);
  const entities = keys.flatMap(entity => {
    const versioned = context.state.getEntity(entity);
    return versioned ? [{entity, ...versioned}] : [];
  });
  return {offset: context.state.nextOffset, entities};
}

/** Returns the latest changes with their outcomes, newest first. */
export function viewHistory(
  context: DaemonContext,
  limit: number,
): ChangeListView {
  const changes = context.state.listChanges(limit).map(change => ({
    ...change,
    problem: change.problem?.message,
  }));
  return {changes};
}
