/** An immutable map whose changed copies share most entries with it. */

/** Number of changed entries above which a change copies the whole map. */
const MAX_OVERLAY_ENTRIES = 256;

/**
 * An immutable map with string keys: a base map and an overlay of changed
 * entries. A copy with entries set costs time in proportion to the overlay, not
 * to the map. The iteration order is that of a `Map` with the same changes.
 */
export class OverlayMap<V extends object> implements ReadonlyMap<string, V> {
  readonly size: number;

  constructor(
    private readonly base: ReadonlyMap<string, V> = new Map(),
    private readonly overlay: ReadonlyMap<string, V> = new Map(),
  ) {
    this.size = base.size + countAdded(base, overlay);
  }

  get(key: string): V | undefined {
    return this.overlay.get(key) ?? this.base.get(key);
  }

  has(key: string): boolean {
    return this.overlay.has(key) || this.base.has(key);
  }

  /** Returns a copy with the given entries set. */
  with(entries: readonly (readonly [string, V])[]): OverlayMap<V> {
    if (entries.length === 0) {
      return this;
    }
    if (this.overlay.size + entries.length > MAX_OVERLAY_ENTRIES) {
      return new OverlayMap(setAll(new Map(this), entries));
    }
    return new OverlayMap(this.base, setAll(new Map(this.overlay), entries));
  }

  /** Returns a copy without the given keys. Copies the whole map. */
  without(keys: readonly string[]): OverlayMap<V> {
    if (keys.length === 0) {
      return this;
    }
    const remaining = new Map(this);
    keys.forEach(key => remaining.delete(key));
    return new OverlayMap(remaining);
  }

  *entries(): MapIterator<[string, V]> {
    for (const [key, value] of this.base) {
      yield [key, this.overlay.get(key) ?? value];
    }
    for (const entry of this.overlay) {
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
  overlay: ReadonlyMap<string, unknown>,
): number {
  let added = 0;
  for (const key of overlay.keys()) {
    added += base.has(key) ? 0 : 1;
  }
  return added;
}
