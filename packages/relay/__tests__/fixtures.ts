/** Fixtures of the relay's tests. */
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {
  LogPathTracker,
  PeerDirectory,
  type PeerEntry,
  type SharedLog,
  encodePeer,
} from '@galenavalve/relay';
import {SeededRandom, SilentLogger} from '@galenavalve/shared';

/** Creates the entry of an instance named `name`. */
export function createPeer(
  name: string,
  values: Partial<PeerEntry> = {},
): PeerEntry {
  return {
    instance: name,
    host: '127.0.0.1',
    port: 1,
    domain: 'a',
    cores: 1,
    writtenAt: 0,
    ...values,
  };
}

/** Creates the directory of `self` with the entries of `others`. */
export function createPeerDirectory(
  self: PeerEntry,
  others: PeerEntry[],
): PeerDirectory {
  const directory = new PeerDirectory(self);
  others.forEach(other => directory.apply(encodePeer(other)));
  return directory;
}

/** Creates the path tracker of an instance in `domain`. */
export function createLogPathTracker(
  directory: PeerDirectory,
  domain = 'a',
): LogPathTracker {
  return new LogPathTracker(
    directory,
    domain,
    new SeededRandom(1),
    new SilentLogger(),
  );
}

/** Creates a log that responds with `outcome` to every append and with one record to every read. */
export function createLog(
  outcome: FencedAppendOutcome,
): SharedLog & {calls: unknown[][]; outcome: FencedAppendOutcome} {
  const calls: unknown[][] = [];
  const records = [{key: 'k', value: 'v', offset: 4}];
  const log = {
    calls,
    outcome,
    append: async (...args: unknown[]) => {
      calls.push(args);
      return log.outcome as never;
    },
    appendFenced: async (...args: unknown[]) => {
      calls.push(args);
      return log.outcome;
    },
    readNewest: async (after: string | undefined) => ({records, end: 5, after}),
    readTail: async () => ({
      kind: 'records' as const,
      records,
      next: 5,
      end: 5,
    }),
  };
  return log;
}
