/** Reads configuration files and computes their differences from the current configuration. */
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

/** Schema of a configuration file. */
const configurationFile = z.strictObject({
  entities: z.array(z.record(z.string(), z.unknown())),
  /**
   * Entity versions on which the file is based, by entity key, as `config show`
   * prints them. A change that was made to an entity since then is a
   * conflict if the file gives its version, and is overwritten if it does not.
   */
  versions: z.record(z.string(), z.int().nonnegative()).default({}),
});

/** An entity that a configuration file lists. */
export interface DesiredEntity {
  value: Entity;
  /** False when the file does not set the service state. */
  setsState: boolean;
}

/** Content of a valid configuration file. */
export interface DesiredConfiguration {
  /** Entities by entity key. */
  entities: Map<string, DesiredEntity>;
  /** Versions on which the file is based, by entity key. */
  versions: Record<string, number>;
}

/** One difference between the current configuration and the file. */
export interface Difference {
  /** Edit that removes the difference. */
  edit: Edit;
  /** Current value; undefined for an entity that does not exist. */
  before: Entity | undefined;
  /** Current version; 0 for an entity that does not exist. */
  presentVersion: number;
}

/** Reads a configuration file. Throws `settings-invalid` when it is not valid. */
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
 * Computes the edits that make the configuration match the file. An entity
 * that the file does not list is kept unless `prune` is set. A service state
 * that the file does not set is kept as well, so that applying a file does not
 * bring a drained failure domain back into service.
 */
export function findDifferences(
  desired: DesiredConfiguration,
  current: ConfigurationView,
  prune: boolean,
): Difference[] {
  const byKey = new Map(current.entities.map(view => [view.entity, view]));
  const differences: Difference[] = [];
  for (const [key, {value, setsState}] of desired.entities) {
    const view = byKey.get(key);
    const desiredValue = setsState ? value : keepState(value, view?.value);
    if (!view || hashValue(view.value) !== hashValue(desiredValue)) {
      differences.push(createDifference(key, desiredValue, view, desired));
    }
  }
  if (prune) {
    for (const view of current.entities) {
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

function keepState(value: Entity, current: Entity | undefined): Entity {
  const hasState = 'state' in value && current && 'state' in current;
  return hasState ? {...value, state: current.state} : value;
}

function createDuplicateFailure(file: string, key: string): Failure {
  return new Failure('settings-invalid', {
    file,
    key,
    problem: 'the entity is listed twice',
    remedy: 'remove one of the two entries',
  });
}
