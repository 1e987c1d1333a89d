/** An immutable map that shares most entries with the one that it was made from. */

/** Changed entries after which the map is copied whole. */
const MAX_CHANGED = 256;

/**
 * A map by text keys. A changed copy costs what has changed since the latest
 * whole copy, not what the map holds. The order of iteration is that of a
 * `Map` that had the same changes.
 */
export class OverlayMap<V extends object> implements ReadonlyMap<string, V> {
  readonly size: number;

  constructor(
    private readonly base: ReadonlyMap<string, V> = new Map(),
    private readonly changed: ReadonlyMap<string, V> = new Map(),
  ) {
    this.size = base.size + countAdded(base, changed);
  }

  get(key: string): V | undefined {
    return this.changed.get(key) ?? this.base.get(key);
  }

  has(key: string): boolean {
    return this.changed.has(key) || this.base.has(key);
  }

  /** A copy with some entries set. */
  with(entries: readonly (readonly [string, V])[]): OverlayMap<V> {
    if (entries.length === 0) {
      return this;
    }
    if (this.changed.size + entries.length > MAX_CHANGED) {
      return new OverlayMap(setAll(new Map(this), entries));
    }
    return new OverlayMap(this.base, setAll(new Map(this.changed), entries));
  }

  /** A copy without some keys. */
  without(keys: readonly string[]): OverlayMap<V> {
    if (keys.length === 0) {
      return this;
    }
    const copy = new Map(this);
    keys.forEach(key => copy.delete(key));
    return new OverlayMap(copy);
  }

  *entries(): MapIterator<[string, V]> {
    for (const [key, value] of this.base) {
      yield [key, this.changed.get(key) ?? value];
    }
    for (const entry of this.changed) {
      if (!this.base.has(entry[0])) {
        yield entry;
      }
    }
  }

  *keys(): MapIterator<string> {
    for (const [key] of this.entries()) {
      yield key;
    }
  }

  *values(): MapIterator<V> {
    for (const [, value] of this.entries()) {
      yield value;
    }
  }

  [Symbol.iterator](): MapIterator<[string, V]> {
    return this.entries();
  }

  forEach(
    visit: (value: V, key: string, map: ReadonlyMap<string, V>) => void,
  ): void {
    for (const [key, value] of this.entries()) {
      visit(value, key, this);
    }
  }
}

function setAll<V>(
  map: Map<string, V>,
  entries: readonly (readonly [string, V])[],
): Map<string, V> {
  for (const [key, value] of entries) {
    map.set(key, value);
  }
  return map;
}

function countAdded(
  base: ReadonlyMap<string, unknown>,
  changed: ReadonlyMap<string, unknown>,
): number {
  let added = 0;
  for (const key of changed.keys()) {
    added += base.has(key) ? 0 : 1;
  }
  return added;
}
