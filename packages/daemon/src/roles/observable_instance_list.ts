/** Passes the platform's list on to those that watch it. */
import type {InstanceList, ListedInstance} from '@galenavalve/membership';

/** Is told of every list that was read. */
export type InstanceListListener = (
  instances: readonly ListedInstance[],
) => void;

/** A list of instances whose answers are observed. */
export class ObservableInstanceList implements InstanceList {
  private readonly listeners: InstanceListListener[] = [];

  constructor(private readonly platformList: InstanceList) {}

  addListener(listener: InstanceListListener): void {
    this.listeners.push(listener);
  }

  async list(timeoutMs: number): Promise<ListedInstance[]> {
    const instances = await this.platformList.list(timeoutMs);
    for (const listener of this.listeners) {
      listener(instances);
    }
    return instances;
  }
}
