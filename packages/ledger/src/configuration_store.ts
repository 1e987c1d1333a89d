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

/** Entities with their versions. Versions only rise, also over a removal. */
export class ConfigurationStore {
  private readonly entities = new Map<string, VersionedEntity>();
  /** Last versions of removed entities. */
  private readonly removed = new Map<string, number>();
  private present: OverlayConfiguration = {
    domains: new OverlayMap(),
    targets: new OverlayMap(),
    workspaces: new OverlayMap(),
    rules: DEFAULT_RULES,
  };

  /** An immutable snapshot; a change replaces it. */
  get configuration(): Configuration {
    return this.present;
  }

  getEntity(key: string): VersionedEntity | undefined {
    return this.entities.get(key);
  }

  /** Version of an entity; 0 for one that never existed, the last one for a removed one. */
  getVersion(key: string): number {
    return this.entities.get(key)?.version ?? this.removed.get(key) ?? 0;
  }

  /** Tells whether a change that is based on `baseVersion` sees the present entity. */
  isCurrent(key: string, baseVersion: number): boolean {
    const isRemoved = !this.entities.has(key);
    return baseVersion === this.getVersion(key) || (isRemoved && !baseVersion);
  }

  /** The configuration as it would be after the edits. */
  preview(edits: readonly Edit[]): OverlayConfiguration {
    return applyEdits(this.present, edits);
  }

  /** Puts edits in force; `configuration` is what `preview` made of them. */
  commit(edits: readonly Edit[], configuration: OverlayConfiguration): void {
    for (const {entity: key, value} of edits) {
      const version = this.getVersion(key) + 1;
      if (value) {
        this.entities.set(key, {version, value});
        this.removed.delete(key);
      } else {
        this.entities.delete(key);
        this.removed.set(key, version);
      }
    }
    this.present = configuration;
  }

  /** Everything, for a snapshot. */
  encode(): EncodedConfiguration {
    return {
      entities: [...this.entities.values()],
      removed: [...this.removed],
    };
  }

  /** Takes over the entities of a snapshot. */
  restore(encoded: EncodedConfiguration): void {
    const edits: Edit[] = [];
    for (const {version, value} of encoded.entities) {
      const key = getEntityKey(value);
      this.entities.set(key, {version, value});
      edits.push({entity: key, baseVersion: version, value});
    }
    for (const [key, version] of encoded.removed) {
      this.removed.set(key, version);
    }
    this.present = this.preview(edits);
  }
}

/** The entities in a snapshot. */
export interface EncodedConfiguration {
  entities: VersionedEntity[];
  removed: [key: string, version: number][];
}

/** Configuration whose maps make cheap changed copies. */
export interface OverlayConfiguration extends Configuration {
  readonly domains: OverlayMap<Domain>;
  readonly targets: OverlayMap<Target>;
  readonly workspaces: OverlayMap<Workspace>;
}

function applyEdits(
  present: OverlayConfiguration,
  edits: readonly Edit[],
): OverlayConfiguration {
  return {
    domains: applyToMap(present.domains, 'domain', edits),
    targets: applyToMap(present.targets, 'target', edits),
    workspaces: applyToMap(present.workspaces, 'workspace', edits),
    rules: applyToRules(present.rules, edits),
  };
}

function applyToMap<Value extends Entity>(
  map: OverlayMap<Value>,
  kind: Value['kind'],
  edits: readonly Edit[],
): OverlayMap<Value> {
  const ofKind = edits.filter(edit => parseEntityKind(edit.entity) === kind);
  const removed = ofKind.filter(edit => !edit.value);
  const set = ofKind.flatMap(({value}) => value ?? []) as Value[];
  return map
    .without(removed.map(edit => parseEntityId(edit.entity)))
    .with(set.map(value => [value.id, value] as const));
}

function applyToRules(present: Rules, edits: readonly Edit[]): Rules {
  const edit = edits.find(({entity: key}) => parseEntityKind(key) === 'rules');
  if (!edit) {
    return present;
  }
  return edit.value?.kind === 'rules' ? edit.value : DEFAULT_RULES;
}

/** The kind that an entity key names. */
export function parseEntityKind(key: string): Entity['kind'] {
  return key.slice(0, key.indexOf('/')) as Entity['kind'];
}

/** The id that an entity key names. */
export function parseEntityId(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
