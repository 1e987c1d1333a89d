/** A list of instances whose changes show late. */
import type {ListedInstance} from '@galenavalve/membership';
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** A change of the list. */
export interface ListChange {
  put: readonly ListedInstance[];
  remove: readonly string[];
  states: Readonly<Record<string, ListedInstance['state']>>;
}

interface Version {
  shownFrom: Instant;
  instances: ListedInstance[];
}

/** Keeps the versions that do not show yet. */
export class LaggingInstanceList {
  private versions: Version[];

  constructor(
    instances: readonly ListedInstance[],
    private readonly lag: Milliseconds,
  ) {
    this.versions = [{shownFrom: -Infinity, instances: [...instances]}];
  }

  /** Changes the list; the change shows after the lag. */
  applyChange(change: ListChange, now: Instant): void {
    const latest = this.versions.at(-1)?.instances ?? [];
    const byId = new Map(latest.map(instance => [instance.id, instance]));
    for (const id of change.remove) {
      byId.delete(id);
    }
    for (const instance of change.put) {
      byId.set(instance.id, instance);
    }
    for (const [id, state] of Object.entries(change.states)) {
      const instance = byId.get(id);
      if (instance) {
        byId.set(id, {...instance, state});
      }
    }
    this.versions.push({
      shownFrom: now + this.lag,
      instances: [...byId.values()],
    });
  }

  /** The list as it shows now. */
  read(now: Instant): ListedInstance[] {
    while (this.versions[1] && this.versions[1].shownFrom <= now) {
      this.versions.shift();
    }
    return this.versions[0]?.instances ?? [];
  }
}
