/** Questions about the configuration and its history. */
import {
  type ChangeListView,
  type VersionedEntity,
  getEntityKey,
} from '@galenavalve/model';
import type {DaemonContext} from '../daemon_context.js';

/** One entity with its key. */
export interface KeyedEntity extends VersionedEntity {
  entity: string;
}

/** Every entity with the version to base a change on. */
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

/** The latest changes with their verdicts, newest first. */
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
