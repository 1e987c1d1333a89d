import t, {type Test} from 'tap';
import {WirePeerLogClient, serveLogs} from '@galenavalve/relay';
import {SeededRandom, SilentLogger, SystemClock} from '@galenavalve/shared';
import {PeerClient, PeerServer} from '@galenavalve/wire';
import {
  createLogPathTracker,
  createPeerDirectory,
  createLog,
  createPeer,
} from './fixtures.js';

const clock = new SystemClock();
const logger = new SilentLogger();

/** Connects a client to a peer that serves the log `jobs`. */
async function connect(t: Test) {
  const log = createLog({kind: 'appended', offset: 7});
  const server = new PeerServer({
    host: '127.0.0.1',
    port: 0,
    instance: 'b',
    logger,
    clock,
  });
  const pathTracker = createLogPathTracker(
    createPeerDirectory(createPeer('b'), []),
  );
  serveLogs(server, new Map([['jobs', log]]), pathTracker);
  const {port} = await server.start();
  const client = new PeerClient({
    instance: 'a',
    logger,
    clock,
    random: new SeededRandom(1),
  });
  t.teardown(async () => {
    client.close();
    await server.close();
  });
  const peer = createPeer('b', {port});
  return {
    log,
    pathTracker,
    peer,
    server,
    peerClient: new WirePeerLogClient(client),
  };
}

t.test(
  'an append reaches the log of the peer with its fencing token',
  async t => {
    const {log, peer, peerClient} = await connect(t);
    const records = [{key: 'k', value: 'v'}];
    const fencing = {epoch: 3, sequence: 9};
    t.same(await peerClient.append(peer, 'jobs', {records, fencing}, 500), {
      kind: 'appended',
      offset: 7,
    });
    t.same(log.calls, [[fencing, records, 500]]);
  },
);

t.test('records are read through the peer', async t => {
  const {peer, peerClient} = await connect(t);
  const records = [{key: 'k', value: 'v', offset: 4}];
  t.match(await peerClient.readNewest(peer, 'jobs', undefined, 500), {
    records,
    end: 5,
  });
  t.match(await peerClient.readTail(peer, 'jobs', 4, 0, 500), {
    kind: 'records',
    records,
  });
});

t.test(
  'a peer that does not reach the log refuses calls without executing them',
  async t => {
    const {pathTracker, log, peer, peerClient} = await connect(t);
    pathTracker.onDirectFailure('busy', 0, 0);
    const outcome = await peerClient.append(peer, 'jobs', {records: []}, 500);
    t.equal(outcome.kind, 'refused');
    t.same(log.calls, []);
    await t.rejects(peerClient.readTail(peer, 'jobs', 4, 0, 500));
  },
);

t.test('an append to an unreachable peer is reported as refused', async t => {
  const {peer, peerClient, server} = await connect(t);
  await server.close();
  const outcome = await peerClient.append(peer, 'jobs', {records: []}, 500);
  t.equal(outcome.kind, 'refused');
});
