/** The versioned entities of the cluster configuration. */
import {
  type Configuration,
  type Domain,
  type Edit,
  type Entity,
  type Rules,
  type Target,
  type VersionedEntity,
  type Workspace,
  DEFAULT_RULES,
  getEntityKey,
} from '@galenavalve/model';
import {OverlayMap} from './overlay_map.js';

/**
 * Stores entities with their versions. A version only increases, even when the
 * entity is removed and added again.
 */
export class ConfigurationStore {
  private readonly entities = new Map<string, VersionedEntity>();
  /** Last versions of removed entities. */
  private readonly removedVersions = new Map<string, number>();
  private currentConfiguration: OverlayConfiguration = {
    domains: new OverlayMap(),
    targets: new OverlayMap(),
    workspaces: new OverlayMap(),
    rules: DEFAULT_RULES,
  };

  /** The current configuration. It is immutable; a change replaces it. */
  get configuration(): Configuration {
    return this.currentConfiguration;
  }

  getEntity(key: string): VersionedEntity | undefined {
    return this.entities.get(key);
  }

  /**
   * Returns the version of an entity: 0 if it never existed, its last version
   * if it was removed.
   */
  getVersion(key: string): number {
    return (
      this.entities.get(key)?.version ?? this.removedVersions.get(key) ?? 0
    );
  }

  /**
   * Returns whether `baseVersion` is the current version of an entity. 0 is also
   * valid for a removed entity.
   */
  isCurrent(key: string, baseVersion: number): boolean {
    const isRemoved = !this.entities.has(key);
    return baseVersion === this.getVersion(key) || (isRemoved && !baseVersion);
  }

  /** Returns the configuration that the edits would produce. Changes nothing. */
  preview(edits: readonly Edit[]): OverlayConfiguration {
    return applyEdits(this.currentConfiguration, edits);
  }

  /** Applies edits; `configuration` is the result of `preview` for them. */
  commit(edits: readonly Edit[], configuration: OverlayConfiguration): void {
    for (const {entity: key, value} of edits) {
      const version = this.getVersion(key) + 1;
      if (value) {
        this.entities.set(key, {version, value});
        this.removedVersions.delete(key);
      } else {
        this.entities.delete(key);
        this.removedVersions.set(key, version);
      }
    }
    this.currentConfiguration = configuration;
  }

  /** Returns all entities and versions, for a snapshot. */
  encode(): EncodedConfiguration {
    return {
      entities: [...this.entities.values()],
      removed: [...this.removedVersions],
    };
  }

  /** Adds the entities of a snapshot. */
  restore(encoded: EncodedConfiguration): void {
    const edits: Edit[] = [];
    for (const {version, value} of encoded.entities) {
      const key = getEntityKey(value);
      this.entities.set(key, {version, value});
      edits.push({entity: key, baseVersion: version, value});
    }
    for (const [key, version] of encoded.removed) {
      this.removedVersions.set(key, version);
    }
    this.currentConfiguration = this.preview(edits);
  }
}

/** Form of the store in a snapshot. */
export interface EncodedConfiguration {
  entities: VersionedEntity[];
  removed: [key: string, version: number][];
}

/** A configuration whose maps can be copied cheaply with changes. */
export interface OverlayConfiguration extends Configuration {
  readonly domains: OverlayMap<Domain>;
  readonly targets: OverlayMap<Target>;
  readonly workspaces: OverlayMap<Workspace>;
}

function applyEdits(
  current: OverlayConfiguration,
  edits: readonly Edit[],
): OverlayConfiguration {
  return {
    domains: applyToMap(current.domains, 'domain', edits),
    targets: applyToMap(current.targets, 'target', edits),
    workspaces: applyToMap(current.workspaces, 'workspace', edits),
    rules: applyToRules(current.rules, edits),
  };
}

function applyToMap<Value extends Entity>(
  map: OverlayMap<Value>,
  kind: Value['kind'],
  edits: readonly Edit[],
): OverlayMap<Value> {
  const editsOfKind = edits.filter(
    edit => parseEntityKind(edit.entity) === kind,
  );
  const removals = editsOfKind.filter(edit => !edit.value);
  const newValues = editsOfKind.flatMap(({value}) => value ?? []) as Value[];
  return map
    .without(removals.map(edit => parseEntityId(edit.entity)))
    .with(newValues.map(value => [value.id, value] as const));
}

function applyToRules(current: Rules, edits: readonly Edit[]): Rules {
  const edit = edits.find(({entity: key}) => parseEntityKind(key) === 'rules');
  if (!edit) {
    return current;
  }
  return edit.value?.kind === 'rules' ? edit.value : DEFAULT_RULES;
}

/** Returns the kind part of an entity key, which has the form `kind/id`. */
export function parseEntityKind(key: string): Entity['kind'] {
  return key.slice(0, key.indexOf('/')) as Entity['kind'];
}

/** Returns the id part of an entity key, which has the form `kind/id`. */
export function parseEntityId(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
