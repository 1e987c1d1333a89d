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

async function connect(t: Test) {
  const log = createLog({kind: 'appended', offset: 7});
  const server = new PeerServer({
    host: '127.0.0.1',
    port: 0,
    instance: 'b',
    logger,
    clock,
  });
  const access = createLogPathTracker(createPeerDirectory(createPeer('b'), []));
  serveLogs(server, new Map([['jobs', log]]), access);
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
  return {log, access, peer, server, port: new WirePeerLogClient(client)};
}

t.test('an append reaches the log of the peer, with its epoch', async t => {
  const {log, peer, port} = await connect(t);
  const records = [{key: 'k', value: 'v'}];
  const fencing = {epoch: 3, sequence: 9};
  t.same(await port.append(peer, 'jobs', {records, fencing}, 500), {
    kind: 'appended',
    offset: 7,
  });
  t.same(log.calls, [[fencing, records, 500]]);
});

t.test('records are read through the peer', async t => {
  const {peer, port} = await connect(t);
  const records = [{key: 'k', value: 'v', offset: 4}];
  t.match(await port.readNewest(peer, 'jobs', undefined, 500), {
    records,
    end: 5,
  });
  t.match(await port.readTail(peer, 'jobs', 4, 0, 500), {
    kind: 'records',
    records,
  });
});

t.test('a peer that does not reach the log refuses truly', async t => {
  const {access, log, peer, port} = await connect(t);
  access.onDirectFailure('busy', 0, 0);
  const outcome = await port.append(peer, 'jobs', {records: []}, 500);
  t.equal(outcome.kind, 'refused');
  t.same(log.calls, []);
  await t.rejects(port.readTail(peer, 'jobs', 4, 0, 500));
});

t.test(
  'an append to a peer that cannot be reached was not carried out',
  async t => {
    const {peer, port, server} = await connect(t);
    await server.close();
    const outcome = await port.append(peer, 'jobs', {records: []}, 500);
    t.equal(outcome.kind, 'refused');
  },
);
