/** Questions about the configuration and its history. */
import {
  type ChangeListView,
  type VersionedEntity,
  getEntityKey,
} from '@galenavalve/model';
import type {Node} from '../node.js';

/** One entity with its key. */
export interface KeyedEntity extends VersionedEntity {
  entity: string;
}

/** Every entity with the version to base a change on. */
export function viewConfiguration(node: Node): {
  offset: number;
  entities: KeyedEntity[];
} {
  const {domains, targets, workspaces, rules} = node.state.configuration;
  const keys = [
    ...domains.values(),
    ...targets.values(),
    ...workspaces.values(),
    rules,
  ].map(getEntityKey);
  const entities = keys.flatMap(entity => {
    const versioned = node.state.getEntity(entity);
    return versioned ? [{entity, ...versioned}] : [];
  });
  return {offset: node.state.nextOffset, entities};
}

/** The latest changes with their verdicts, newest first. */
export function viewHistory(node: Node, limit: number): ChangeListView {
  const changes = node.state.listChanges(limit).map(change => ({
    ...change,
    problem: change.problem?.message,
  }));
  return {changes};
}
