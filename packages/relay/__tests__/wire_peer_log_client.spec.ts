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

// Guards against callers and followers that wait for ever for a peer at an address that cannot be called (issue 33).
t.test('an append to a peer at an odd address is refused', async t => {
  const {peerClient} = await connect(t);
  const addresses = [
    ...[0, -1, 99_999, 1.5, NaN, 1e300].map(port => ({port})),
    ...['', '999.999.1.1', 'a b', 'x'.repeat(100_000), '\0'].map(host => ({
      host,
    })),
  ];
  for (const address of addresses) {
    const peer = createPeer('odd', address);
    const append = peerClient.append(peer, 'jobs', {records: []}, 500);
    const never = new Promise(resolve => setTimeout(resolve, 3000, 'no end'));
    const label = JSON.stringify(address).slice(0, 40);
    t.match(await Promise.race([append, never]), {kind: 'refused'}, label);
  }
});

// Guards against a process that ends at a message of a peer (issue 33).
t.test('odd records of a peer are errors of the call', async t => {
  const {peer, peerClient, log} = await connect(t);
  let deep: unknown = 1;
  for (let level = 0; level < 200_000; level++) {
    deep = [deep];
  }
  const record = {key: 'k', value: 'v', offset: 4};
  const odd = [
    ...[null, 7, [], {}, deep].map(page => page),
    ...[NaN, Infinity, 1e308, 0.5, '4', deep].map(offset => ({
      kind: 'records',
      records: [{...record, offset}],
      next: 5,
      end: 5,
    })),
    {kind: 'records', records: [{...record, value: deep}], next: 5, end: 5},
    {kind: 'odd'},
  ];
  for (const page of odd) {
    log.readTail = async () => page as never;
    await t.rejects(peerClient.readTail(peer, 'jobs', 4, 0, 500));
  }
  log.readTail = async () => ({kind: 'expired'});
  t.same(await peerClient.readTail(peer, 'jobs', 4, 0, 500), {kind: 'expired'});
});
