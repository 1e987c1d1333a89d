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
  defaultRules,
  keyOf,
} from '@galenavalve/model';

/** Entities with their versions. Versions only rise, also over a removal. */
export class ConfigurationStore {
  private readonly entities = new Map<string, VersionedEntity>();
  /** Last versions of removed entities. */
  private readonly removed = new Map<string, number>();
  private present: Configuration = {
    domains: new Map(),
    targets: new Map(),
    workspaces: new Map(),
    rules: defaultRules,
  };

  /** An immutable snapshot; a change replaces it. */
  get configuration(): Configuration {
    return this.present;
  }

  entity(key: string): VersionedEntity | undefined {
    return this.entities.get(key);
  }

  /** Version of an entity; 0 for one that never existed, the last one for a removed one. */
  version(key: string): number {
    return this.entities.get(key)?.version ?? this.removed.get(key) ?? 0;
  }

  /** Tells whether a change that is based on `baseVersion` sees the present entity. */
  isCurrent(key: string, baseVersion: number): boolean {
    const isRemoved = !this.entities.has(key);
    return baseVersion === this.version(key) || (isRemoved && !baseVersion);
  }

  /** The configuration as it would be after the edits. */
  preview(edits: readonly Edit[]): Configuration {
    const next = copyTouchedKinds(this.present, edits);
    for (const edit of edits) {
      applyEdit(next, edit);
    }
    return next;
  }

  /** Puts edits in force; `configuration` is what `preview` made of them. */
  commit(edits: readonly Edit[], configuration: Configuration): void {
    for (const {entity: key, value} of edits) {
      const version = this.version(key) + 1;
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
      const key = keyOf(value);
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

interface MutableConfiguration {
  domains: Map<string, Domain>;
  targets: Map<string, Target>;
  workspaces: Map<string, Workspace>;
  rules: Rules;
}

/** Copies only the maps that the edits touch: a change costs what its kind holds. */
function copyTouchedKinds(
  present: Configuration,
  edits: readonly Edit[],
): MutableConfiguration {
  const kinds = new Set(edits.map(edit => kindOf(edit.entity)));
  const copy = <T>(kind: Entity['kind'], map: ReadonlyMap<string, T>) =>
    kinds.has(kind) ? new Map(map) : (map as Map<string, T>);
  return {
    domains: copy('domain', present.domains),
    targets: copy('target', present.targets),
    workspaces: copy('workspace', present.workspaces),
    rules: present.rules,
  };
}

function applyEdit(configuration: MutableConfiguration, edit: Edit): void {
  const {value} = edit;
  if (!value) {
    removeEntity(configuration, edit.entity);
    return;
  }
  switch (value.kind) {
    case 'domain':
      configuration.domains.set(value.id, value);
      break;
    case 'target':
      configuration.targets.set(value.id, value);
      break;
    case 'workspace':
      configuration.workspaces.set(value.id, value);
      break;
    case 'rules':
      configuration.rules = value;
      break;
  }
}

function removeEntity(configuration: MutableConfiguration, key: string): void {
  const id = idOf(key);
  switch (kindOf(key)) {
    case 'domain':
      configuration.domains.delete(id);
      break;
    case 'target':
      configuration.targets.delete(id);
      break;
    case 'workspace':
      configuration.workspaces.delete(id);
      break;
    case 'rules':
      configuration.rules = defaultRules;
      break;
  }
}

/** The kind that an entity key names. */
export function kindOf(key: string): Entity['kind'] {
  return key.slice(0, key.indexOf('/')) as Entity['kind'];
}

/** The id that an entity key names. */
export function idOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
