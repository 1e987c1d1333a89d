/** Fixtures: a daemon with an in-memory log. */
import type {Test} from 'tap';
import {MemoryLog} from '@galenavalve/ledger';
import type {InstanceList, ListedInstance} from '@galenavalve/membership';
import {type Entity, getEntityKey} from '@galenavalve/model';
import {SilentLogger, SystemClock} from '@galenavalve/shared';
import {
  createContainer,
  Daemon,
  settings as settingsSchema,
  tokens,
} from '../src/index.js';

/** A daemon that is serving. */
export interface RunningDaemon {
  url: string;
  daemon: Daemon;
  log: MemoryLog;
}

/** Creates the settings of a daemon that listens on free local ports. */
export function createSettings(): object {
  return {
    instance: 'jnb-entry-1',
    domain: 'jnb',
    http: {host: '127.0.0.1', port: 0},
    peer: {host: '127.0.0.1', port: 0},
    platform: {
      logUrl: 'http://127.0.0.1:1',
      instanceListUrl: 'http://127.0.0.1:1',
    },
    timings: {drainMs: 100, logWaitMs: 50, appendTimeoutMs: 1_500},
  };
}

/** Starts a daemon with an empty log; stops it at the end of the test. */
export async function startDaemon(test: Test): Promise<RunningDaemon> {
  const clock = new SystemClock();
  const log = new MemoryLog(clock);
  const settings = settingsSchema.parse(createSettings());
  const container = createContainer(settings, clock, new SilentLogger());
  (await container.rebind(tokens.platformLog)).toConstantValue(log);
  (await container.rebind(tokens.platformList)).toConstantValue(
    new EmptyInstanceList(),
  );
  const daemon = container.get(Daemon);
  await daemon.start();
  test.teardown(() => daemon.stop('the end of the test'));
  return {url: `http://127.0.0.1:${daemon.port}`, daemon, log};
}

/** Creates a `configured` record as operators append it directly to the log. */
export function createConfigured(
  changeId: string,
  ...values: Entity[]
): Record<string, unknown> {
  const edits = values.map(value => ({
    entity: getEntityKey(value),
    baseVersion: 0,
    value,
  }));
  return {
    v: 1,
    type: 'configured',
    recordId: changeId,
    at: 1,
    by: 'asset-register',
    change: {changeId, author: 'asset-register', edits},
  };
}

class EmptyInstanceList implements InstanceList {
  async list(): Promise<ListedInstance[]> {
    return [];
  }
}
