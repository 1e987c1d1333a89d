import t from 'tap';
import type {FencedAppendOutcome} from '@galenavalve/dispatch';
import {type PeerLogClient, RelayedLog} from '@galenavalve/relay';
import {ManualClock} from '@galenavalve/shared';
import {
  createLogPathTracker,
  createPeerDirectory,
  createLog,
  createPeer,
} from './fixtures.js';

/** Creates a relayed log whose direct and relayed appends have the given outcomes. */
function createRelayedLog(
  directOutcome: FencedAppendOutcome,
  peerOutcome: FencedAppendOutcome,
) {
  const clock = new ManualClock();
  const direct = createLog(directOutcome);
  const calledPeers: string[] = [];
  const peerClient: PeerLogClient = {
    append: async ({instance}) => {
      calledPeers.push(instance);
      return peerOutcome;
    },
    readNewest: () => Promise.reject(new Error('no page')),
    readTail: () => Promise.reject(new Error('no page')),
  };
  const others = [createPeer('b'), createPeer('c', {domain: 'z'})];
  const pathTracker = createLogPathTracker(
    createPeerDirectory(createPeer('a'), others),
  );
  const log = new RelayedLog('jobs', direct, pathTracker, peerClient, clock);
  return {log, direct, calledPeers, pathTracker, clock};
}

const appended: FencedAppendOutcome = {kind: 'appended', offset: 1};
const refused: FencedAppendOutcome = {kind: 'refused', problem: 'busy'};
const unknown: FencedAppendOutcome = {kind: 'unknown', problem: 'no response'};

t.test('an append with a direct response calls no peer', async t => {
  const {log, calledPeers} = createRelayedLog(appended, appended);
  t.same(await log.append([], 500), appended);
  t.same(calledPeers, []);
});

t.test(
  'an append that is refused goes through a peer of the same domain',
  async t => {
    const {log, calledPeers, direct} = createRelayedLog(refused, appended);
    t.same(await log.append([], 500), appended);
    t.same(calledPeers, ['b']);
    await log.append([], 500);
    t.equal(
      direct.calls.length,
      1,
      'the log is not called directly again immediately',
    );
  },
);

t.test(
  'an append does not count as refused if an attempt may have carried it out',
  async t => {
    const {log} = createRelayedLog(unknown, refused);
    t.equal((await log.append([], 500)).kind, 'unknown');
    const refusedFirst = createRelayedLog(refused, unknown);
    t.equal((await refusedFirst.log.append([], 500)).kind, 'unknown');
  },
);

t.test(
  'an append tries at most two peers if the log is unreachable for all',
  async t => {
    const {log, calledPeers, direct, pathTracker, clock} = createRelayedLog(
      refused,
      refused,
    );
    t.equal((await log.append([], 500)).kind, 'refused');
    t.equal(calledPeers.length, 2);
    t.notOk(pathTracker.isAvailableToPeers);
    await log.append([], 500);
    t.equal(
      calledPeers.length,
      2,
      'peers that failed are not called again for a while',
    );
    t.equal(direct.calls.length, 2);
    await clock.advance(2000);
    await log.append([], 500);
    t.equal(calledPeers.length, 4);
  },
);

t.test(
  'an instance whose call was refused immediately detects the end of an outage soon (menon-terrain-grown scale-1)',
  async t => {
    const {log, direct, clock} = createRelayedLog(refused, refused);
    await log.append([], 500);
    t.equal(direct.calls.length, 1);
    await clock.advance(350);
    direct.outcome = appended;
    t.same(await log.append([], 500), appended);
    t.equal(direct.calls.length, 2);
  },
);

t.test('an append through a peer is fenced by a higher epoch', async t => {
  const {log} = createRelayedLog(refused, {kind: 'fenced'});
  t.same(await log.appendFenced({epoch: 5, sequence: 1}, [], 500), {
    kind: 'fenced',
  });
});
