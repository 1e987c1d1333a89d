/** Desired state: the part of the operators' configuration that concerns callers and the leader. */
import type {Instant} from '@galenavalve/shared';
import type {QueueTerms} from '@galenavalve/workload';

/** A queue, which callers address by host and path. */
export interface Queue {
  name: string;
  host: string;
  pathPrefix: string;
  /** Whether requests need no key. */
  isPublic: boolean;
  terms: QueueTerms;
}

/** A workspace with its keys and its guarantee. */
export interface Workspace {
  name: string;
  keys: string[];
  /** Number of accelerators that its urgent jobs can get at any time. */
  guaranteedAccelerators: number;
}

/** One complete version of the desired state. */
export interface DesiredState {
  version: number;
  queues: Queue[];
  workspaces: Workspace[];
}

/** Holds the newest desired state with indexes for lookups. The version never decreases within one process. */
export class DesiredStateStore {
  /** Failure domains in which no new work is placed. */
  readonly evacuated = new Set<string>();
  /** Guaranteed accelerators by workspace. */
  guarantees: ReadonlyMap<string, number> = new Map();
  /** Time at which the log was last read to its end, which shows that there was no newer version. */
  confirmedAt: Instant = -Infinity;
  private state?: DesiredState;
  private queuesByHost = new Map<string, Queue[]>();
  private workspacesByKey = new Map<string, string>();

  /** Version in effect; undefined until the first one is applied. */
  get version(): number | undefined {
    return this.state?.version;
  }

  /** Called when the log has been read to its end. */
  onConfirmed(now: Instant): void {
    this.confirmedAt = now;
  }

  /** Applies a version unless one that is as new or newer is in effect. Returns whether it was applied. */
  apply(state: DesiredState): boolean {
    if (this.state && state.version <= this.state.version) {
      return false;
    }
    this.state = state;
    this.queuesByHost = new Map();
    for (const queue of state.queues) {
      const host = queue.host.toLowerCase();
      this.queuesByHost.set(host, [
        ...(this.queuesByHost.get(host) ?? []),
        queue,
      ]);
    }
    for (const queues of this.queuesByHost.values()) {
      queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    this.workspacesByKey = new Map(
      state.workspaces.flatMap(({name, keys}) => keys.map(key => [key, name])),
    );
    this.guarantees = new Map(
      state.workspaces.map(workspace => [
        workspace.name,
        workspace.guaranteedAccelerators,
      ]),
    );
    return true;
  }

  /** Finds the queue of a host with the longest prefix that matches `path`. */
  findQueue(host: string, path: string): Queue | undefined {
    const queues = this.queuesByHost.get(host.toLowerCase()) ?? [];
    return queues.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  /** Finds the name of the workspace to which a key belongs. */
  findWorkspace(key: string): string | undefined {
    return this.workspacesByKey.get(key);
  }
}
