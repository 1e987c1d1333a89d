/** What operators want, as far as callers and the dispatcher see it. */
import type {Instant} from '@galenavalve/shared';
import type {QueueTerms} from '@galenavalve/workload';

/** A queue that callers reach by host and path. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  /** Calls need no key. */
  isPublic: boolean;
  terms: QueueTerms;
}

/** A workspace with its keys and its guarantee. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Accelerators that belong to its urgent jobs at all times. */
  guaranteedAccelerators: number;
}

/** One version of the desired state, in full. */
export interface DesiredState {
  version: number;
  queues: Queue[];
  workspaces: Workspace[];
}

/** The newest desired state, indexed; versions never go back within one life of the process. */
export class DesiredStateStore {
  /** Failure domains that get no new work. */
  readonly evacuated = new Set<string>();
  guarantees: ReadonlyMap<string, number> = new Map();
  /** When the log was last read to its end: no newer version was there. */
  confirmedAt: Instant = -Infinity;
  private state?: DesiredState;
  private byHost = new Map<string, Queue[]>();
  private byKey = new Map<string, string>();

  /** Version in force; undefined before the first. */
  get version(): number | undefined {
    return this.state?.version;
  }

  /** The log was read to its end. */
  onConfirmed(now: Instant): void {
    this.confirmedAt = now;
  }

  /** Puts a version in force unless it is older. Returns whether it did. */
  apply(state: DesiredState): boolean {
    if (this.state && state.version <= this.state.version) {
      return false;
    }
    this.state = state;
    this.byHost = new Map();
    for (const queue of state.queues) {
      const host = queue.host.toLowerCase();
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), queue]);
    }
    for (const queues of this.byHost.values()) {
      queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.byKey = new Map(
      state.workspaces.flatMap(({name, keys}) => keys.map(key => [key, name])),
    );
    this.guarantees = new Map(
      state.workspaces.map(each => [each.name, each.guaranteedAccelerators]),
    );
    return true;
  }

  /** The queue of the longest prefix that `path` begins with. */
  findQueue(host: string, path: string): Queue | undefined {
    const queues = this.byHost.get(host.toLowerCase()) ?? [];
    return queues.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /** The workspace of a key. */
  findWorkspace(key: string): string | undefined {
    return this.byKey.get(key);
  }
}
