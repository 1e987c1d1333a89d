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

function createRelayed(own: FencedAppendOutcome, peers: FencedAppendOutcome) {
  const clock = new ManualClock();
  const direct = createLog(own);
  const asked: string[] = [];
  const port: PeerLogClient = {
    append: async ({instance}) => {
      asked.push(instance);
      return peers;
    },
    readNewest: () => Promise.reject(new Error('no page')),
    readTail: () => Promise.reject(new Error('no page')),
  };
  const others = [createPeer('b'), createPeer('c', {domain: 'z'})];
  const access = createLogPathTracker(
    createPeerDirectory(createPeer('a'), others),
  );
  const log = new RelayedLog('jobs', direct, access, port, clock);
  return {log, direct, asked, access, clock};
}

const appended: FencedAppendOutcome = {kind: 'appended', offset: 1};
const refused: FencedAppendOutcome = {kind: 'refused', problem: 'busy'};
const unknown: FencedAppendOutcome = {kind: 'unknown', problem: 'silence'};

t.test('an append that is answered asks no peer', async t => {
  const {log, asked} = createRelayed(appended, appended);
  t.same(await log.append([], 500), appended);
  t.same(asked, []);
});

t.test(
  'an append that is refused goes through a peer of the domain',
  async t => {
    const {log, asked, direct} = createRelayed(refused, appended);
    t.same(await log.append([], 500), appended);
    t.same(asked, ['b']);
    await log.append([], 500);
    t.equal(direct.calls.length, 1, 'the log is not asked again at once');
  },
);

t.test('nothing counts as refused that a try may have carried out', async t => {
  const {log} = createRelayed(unknown, refused);
  t.equal((await log.append([], 500)).kind, 'unknown');
  const other = createRelayed(refused, unknown);
  t.equal((await other.log.append([], 500)).kind, 'unknown');
});

t.test(
  'a log that is away for all is asked through two peers at most',
  async t => {
    const {log, asked, direct, access, clock} = createRelayed(refused, refused);
    t.equal((await log.append([], 500)).kind, 'refused');
    t.equal(asked.length, 2);
    t.notOk(access.isAvailableToPeers);
    await log.append([], 500);
    t.equal(asked.length, 2, 'peers that failed are left alone for a while');
    t.equal(direct.calls.length, 2);
    await clock.advance(2000);
    await log.append([], 500);
    t.equal(asked.length, 4);
  },
);

t.test(
  'the end of an outage is noticed soon by an instance that was refused at once (menon-terrain-grown scale-1)',
  async t => {
    const {log, direct, clock} = createRelayed(refused, refused);
    await log.append([], 500);
    t.equal(direct.calls.length, 1);
    await clock.advance(350);
    direct.outcome = appended;
    t.same(await log.append([], 500), appended);
    t.equal(direct.calls.length, 2);
  },
);

t.test(
  'an office that a higher epoch holds is lost through a peer, too',
  async t => {
    const {log} = createRelayed(refused, {kind: 'fenced'});
    t.same(await log.appendFenced({epoch: 5, sequence: 1}, [], 500), {
      kind: 'fenced',
    });
  },
);
