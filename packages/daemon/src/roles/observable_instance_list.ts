/** Notifies listeners of every read of the platform's instance list. */
import type {InstanceList, ListedInstance} from '@galenavalve/membership';

/** Called with every list that was read. */
export type InstanceListListener = (
  instances: readonly ListedInstance[],
) => void;

/** An instance list that notifies listeners of its reads. */
export class ObservableInstanceList implements InstanceList {
  private readonly listeners: InstanceListListener[] = [];

  constructor(private readonly platformList: InstanceList) {}

  /** Registers a listener. */
  addListener(listener: InstanceListListener): void {
    this.listeners.push(listener);
  }

  /** Reads the list and notifies the listeners. Throws the errors of the read. */
  async list(timeoutMs: number): Promise<ListedInstance[]> {
    const instances = await this.platformList.list(timeoutMs);
    for (const listener of this.listeners) {
      listener(instances);
    }
    return instances;
  }
}
