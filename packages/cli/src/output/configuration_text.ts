/** Formats configuration changes and differences as text. */
import type {ChangeView, Entity} from '@galenavalve/model';
import type {Difference} from '../input/desired_configuration.js';
import {type Column, renderTable} from './table.js';
import {formatCount, formatTime} from './format.js';

/** Maximum number of entities of a change that the table lists. */
const MAX_LISTED_ENTITIES = 3;

const changeColumns: Column<ChangeView>[] = [
  {title: 'time', text: change => formatTime(change.at)},
  {title: 'author', text: change => change.author},
  {title: 'change', text: change => change.changeId},
  {title: 'offset', text: change => String(change.offset), alignRight: true},
  {title: 'entities', text: formatEntities},
  {
    title: 'result',
    text: change =>
      change.accepted ? 'accepted' : `rejected: ${change.problem ?? ''}`,
  },
];

/** Renders changes as a table. */
export function renderChanges(changes: readonly ChangeView[]): string {
  return changes.length === 0
    ? 'no changes'
    : renderTable(changeColumns, changes);
}

/**
 * Renders differences field by field; + marks an added entity, - a removed and
 * ~ a changed one.
 */
export function renderDifferences(differences: readonly Difference[]): string {
  return differences.length === 0
    ? 'no differences'
    : differences.flatMap(renderDifference).join('\n');
}

function renderDifference({
  edit,
  before,
  presentVersion,
}: Difference): string[] {
  const version =
    edit.baseVersion === presentVersion
      ? `(version ${presentVersion})`
      : `(conflict: based on version ${edit.baseVersion}, now at ${presentVersion})`;
  if (!edit.value) {
    return [`- ${edit.entity} ${version}`];
  }
  if (!before) {
    return [`+ ${edit.entity}`];
  }
  return [`~ ${edit.entity} ${version}`, ...renderFields(before, edit.value)];
}

function renderFields(before: Entity, after: Entity): string[] {
  const oldFields = new Map<string, unknown>(Object.entries(before));
  const newFields = new Map<string, unknown>(Object.entries(after));
  const keys = [...new Set([...oldFields.keys(), ...newFields.keys()])];
  return keys
    .map(
      key =>
        [
          key,
          formatValue(oldFields.get(key)),
          formatValue(newFields.get(key)),
        ] as const,
    )
    .filter(([, from, to]) => from !== to)
    .map(([key, from, to]) => `    ${key}: ${from} -> ${to}`);
}

function formatValue(value: unknown): string {
  return value === undefined ? 'unset' : JSON.stringify(value);
}

function formatEntities({entities, edits}: ChangeView): string {
  const listed = entities.slice(0, MAX_LISTED_ENTITIES).join(' ');
  const otherCount = edits - Math.min(entities.length, MAX_LISTED_ENTITIES);
  return otherCount > 0
    ? `${listed} and ${formatCount(otherCount, 'other')}`
    : listed;
}
