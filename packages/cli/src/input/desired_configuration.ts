/** The file of a cluster configuration, and what has to change to reach it. */
import {z} from 'zod';
import {
  type ConfigurationView,
  type Edit,
  type Entity,
  entity,
  type EntityView,
  getEntityKey,
} from '@galenavalve/model';
import {Failure, hashValue} from '@galenavalve/shared';
import {checkValue, readJsonc} from './jsonc_file.js';

/** A file of desired entities. */
const configurationFile = z.strictObject({
  entities: z.array(z.record(z.string(), z.unknown())),
  /**
   * Versions that the file was made from, by entity key, as `config show`
   * prints them. With them, a change that somebody else made since is a
   * conflict; without them, it is overwritten.
   */
  versions: z.record(z.string(), z.int().nonnegative()).default({}),
});

/** An entity as the file lists it. */
export interface DesiredEntity {
  value: Entity;
  /** False when the file leaves the service state as it is. */
  setsState: boolean;
}

/** A checked file. */
export interface DesiredConfiguration {
  entities: Map<string, DesiredEntity>;
  versions: Record<string, number>;
}

/** One difference between the configuration in force and the file. */
export interface Difference {
  edit: Edit;
  /** Present value and version; undefined and 0 for an entity that does not exist. */
  before: Entity | undefined;
  presentVersion: number;
}

/** Reads a configuration file. Throws `settings-invalid`. */
export function readDesiredConfiguration(file: string): DesiredConfiguration {
  const content = checkValue(configurationFile, readJsonc(file), file);
  const entities = new Map<string, DesiredEntity>();
  content.entities.forEach((raw, index) => {
    const value = checkValue(entity, raw, `${file}: entities.${index}`);
    const key = getEntityKey(value);
    if (entities.has(key)) {
      throw createDuplicateFailure(file, key);
    }
    entities.set(key, {value, setsState: 'state' in raw});
  });
  return {entities, versions: content.versions};
}

/**
 * What has to change. An entity that the file does not list stays, unless
 * `prune` is set. A service state that the file does not name stays as well,
 * so that applying a file does not bring a drained failure domain back.
 */
export function findDifferences(
  desired: DesiredConfiguration,
  present: ConfigurationView,
  prune: boolean,
): Difference[] {
  const byKey = new Map(present.entities.map(view => [view.entity, view]));
  const differences: Difference[] = [];
  for (const [key, {value, setsState}] of desired.entities) {
    const view = byKey.get(key);
    const target = setsState ? value : keepState(value, view?.value);
    if (!view || hashValue(view.value) !== hashValue(target)) {
      differences.push(createDifference(key, target, view, desired));
    }
  }
  if (prune) {
    for (const view of present.entities) {
      if (!desired.entities.has(view.entity)) {
        differences.push(createDifference(view.entity, null, view, desired));
      }
    }
  }
  return differences;
}

function createDifference(
  key: string,
  value: Entity | null,
  view: EntityView | undefined,
  {versions}: DesiredConfiguration,
): Difference {
  const presentVersion = view?.version ?? 0;
  const baseVersion = versions[key] ?? presentVersion;
  const edit = {entity: key, baseVersion, value};
  return {edit, before: view?.value, presentVersion};
}

function keepState(value: Entity, present: Entity | undefined): Entity {
  const hasState = 'state' in value && present && 'state' in present;
  return hasState ? {...value, state: present.state} : value;
}

function createDuplicateFailure(file: string, key: string): Failure {
  return new Failure('settings-invalid', {
    file,
    key,
    problem: 'the entity is listed twice',
    remedy: 'remove one of the two',
  });
}
