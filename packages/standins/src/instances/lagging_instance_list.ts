/** Instance list that shows changes after a lag. */
import type {ListedInstance} from '@galenavalve/membership';
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** Change of the list; applied in the order remove, put, states. */
export interface ListChange {
  /** Instances to add, or to replace by id. */
  put: readonly ListedInstance[];
  /** Ids of instances to remove. */
  remove: readonly string[];
  /** New states by instance id; unknown ids are ignored. */
  states: Readonly<Record<string, ListedInstance['state']>>;
}

/** Content of the list from one instant on. */
interface Version {
  shownFrom: Instant;
  instances: ListedInstance[];
}

/** Keeps the visible version of the list and the later ones that are still hidden by the lag. */
export class LaggingInstanceList {
  private versions: Version[];

  constructor(
    instances: readonly ListedInstance[],
    private readonly lagMs: Milliseconds,
  ) {
    this.versions = [{shownFrom: -Infinity, instances: [...instances]}];
  }

  /** Applies a change, which shows after the lag. */
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
      shownFrom: now + this.lagMs,
      instances: [...byId.values()],
    });
  }

  /** Returns the version that is visible at `now`. */
  read(now: Instant): ListedInstance[] {
    while (this.versions[1] && this.versions[1].shownFrom <= now) {
      this.versions.shift();
    }
    return this.versions[0]?.instances ?? [];
  }
}
