/** Configuration changes as text. */
import type {ChangeView, Entity} from '@galenavalve/model';
import type {Difference} from '../input/desired_configuration.js';
import {type Column, renderTable} from './table.js';
import {formatCount, formatTime} from './format.js';

/** Entities of a change that are named in a table. */
const MAX_NAMED_ENTITIES = 3;

const changeColumns: Column<ChangeView>[] = [
  {title: 'time', text: change => formatTime(change.at)},
  {title: 'author', text: change => change.author},
  {title: 'change', text: change => change.changeId},
  {title: 'offset', text: change => String(change.offset), alignRight: true},
  {title: 'entities', text: nameEntities},
  {
    title: 'result',
    text: change =>
      change.accepted ? 'accepted' : `rejected: ${change.problem ?? ''}`,
  },
];

/** Changes as a table. */
export function renderChanges(changes: readonly ChangeView[]): string {
  return changes.length === 0
    ? 'no changes'
    : renderTable(changeColumns, changes);
}

/** Differences field by field: + added, - removed, ~ changed. */
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
  const old = new Map<string, unknown>(Object.entries(before));
  const fresh = new Map<string, unknown>(Object.entries(after));
  const keys = [...new Set([...old.keys(), ...fresh.keys()])];
  return keys
    .map(key => [key, show(old.get(key)), show(fresh.get(key))] as const)
    .filter(([, from, to]) => from !== to)
    .map(([key, from, to]) => `    ${key}: ${from} -> ${to}`);
}

function show(value: unknown): string {
  return value === undefined ? 'unset' : JSON.stringify(value);
}

function nameEntities({entities, edits}: ChangeView): string {
  const named = entities.slice(0, MAX_NAMED_ENTITIES).join(' ');
  const others = edits - Math.min(entities.length, MAX_NAMED_ENTITIES);
  return others > 0 ? `${named} and ${formatCount(others, 'other')}` : named;
}
