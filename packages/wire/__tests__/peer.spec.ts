import {createConnection} from 'node:net';
import t, {type Test} from 'tap';
import {z} from 'zod';
import {
  Failure,
  SeededRandom,
  SilentLogger,
  SystemClock,
} from '@galenavalve/shared';
import {
  PeerClient,
  PeerServer,
  TcpProxy,
  type WireOptions,
  encodeFrame,
  encodeMessage,
} from '../src/index.js';

const clock = new SystemClock();
const logger = new SilentLogger();
const options: Partial<WireOptions> = {
  heartbeatInterval: 60,
  silenceTimeout: 300,
  connectTimeout: 500,
  backoffBase: 5,
  backoffCap: 20,
  maxFrameBytes: 4096,
};
const HOST = '127.0.0.1';

async function startServer(t: Test, port = 0) {
  const settings = {host: HOST, port, instance: 'b', logger, clock, options};
  const server = new PeerServer(settings);
  server.handle('echo', z.number(), async (body, from) => ({body, from}));
  server.handle('refuse', z.unknown(), async () => {
    throw new Failure('append-uncertain', {problem: 'lost'});
  });
  server.handle('slow', z.number(), async duration => {
    await clock.sleep(duration);
    return duration;
  });
  server.handle('long', z.unknown(), async () => 'x'.repeat(10_000));
  t.teardown(() => server.close());
  const started = await server.start();
  return {server, peer: {instance: 'b', host: HOST, port: started.port}};
}

function createClient(t: Test): PeerClient {
  const random = new SeededRandom(1);
  const client = new PeerClient({
    instance: 'a',
    logger,
    clock,
    random,
    options,
  });
  t.teardown(() => client.close());
  return client;
}

/** Repeats a call until it succeeds. */
async function callUntilAnswered(call: () => Promise<unknown>) {
  const end = clock.now() + 10_000;
  for (;;) {
    try {
      return await call();
    } catch (error) {
      if (clock.now() > end) {
        throw error;
      }
      await clock.sleep(5);
    }
  }
}

t.test('a call', async t => {
  t.test('brings the answer, or the failure of the peer', async t => {
    const {peer} = await startServer(t);
    const client = createClient(t);
    const answer = await client.call(peer, 'echo', 7, 5000);
    t.same(answer, {body: 7, from: 'a'});
    await t.rejects(client.call(peer, 'refuse', 0, 5000), {
      code: 'append-uncertain',
      details: {problem: 'lost'},
    });
    await t.rejects(client.call(peer, 'echo', 'text', 5000), {
      code: 'bad-request',
    });
    await t.rejects(client.call(peer, 'long', 0, 5000), {
      code: 'frame-invalid',
    });
    await t.rejects(client.call(peer, 'none', 0, 5000), {code: 'not-found'});
    t.equal(client.openConnections, 1);
  });

  t.test('keeps answers apart and drops those that come late', async t => {
    const {peer} = await startServer(t);
    const client = createClient(t);
    const slow = client.call(peer, 'slow', 120, 5000);
    await t.rejects(client.call(peer, 'slow', 60, 20), {code: 'peer-timeout'});
    const many = [3, 2, 1].map(id => client.call(peer, 'echo', id, 5000));
    const answers = await Promise.all(many);
    t.match(answers, [{body: 3}, {body: 2}, {body: 1}]);
    t.equal(await slow, 120);
  });

  t.test('fails when another instance has taken the address', async t => {
    const {peer} = await startServer(t);
    const call = createClient(t).call(
      {...peer, instance: 'c'},
      'echo',
      1,
      5000,
    );
    await t.rejects(call, {code: 'peer-unavailable'});
  });

  t.test(
    'fails at once when nobody listens, and works again later',
    async t => {
      const first = await startServer(t);
      await first.server.close();
      const client = createClient(t);
      const call = () => client.call(first.peer, 'echo', 1, 5000);
      await t.rejects(call(), {code: 'peer-unavailable'});
      await startServer(t, first.peer.port);
      t.match(await callUntilAnswered(call), {body: 1});
    },
  );
});

t.test('a connection', async t => {
  async function startRelay(t: Test) {
    const {server, peer} = await startServer(t);
    const relay = new TcpProxy(peer.port);
    t.teardown(() => relay.close());
    const client = createClient(t);
    const relayed = {...peer, port: await relay.start()};
    const call = () => client.call(relayed, 'echo', 1, 5000);
    await call();
    return {server, relay, client, call};
  }

  t.test('that goes silent for good is replaced', async t => {
    const {relay, call} = await startRelay(t);
    relay.stallConnections();
    await t.rejects(call(), {code: 'peer-unavailable'});
    t.match(await callUntilAnswered(call), {body: 1});
    t.equal(relay.openedConnections, 2);
  });

  for (const mode of ['cut-requests', 'cut-answers'] as const) {
    t.test(`is replaced after the fault "${mode}"`, async t => {
      const {relay, call} = await startRelay(t);
      relay.setMode(mode);
      await t.rejects(call(), {code: 'peer-unavailable'});
      relay.setMode('open');
      t.match(await callUntilAnswered(call), {body: 1});
    });
  }

  t.test('that is only idle stays open by heartbeats', async t => {
    const {relay, client, call} = await startRelay(t);
    const before = client.bytesSent;
    await clock.sleep(3 * options.silenceTimeout!);
    await call();
    t.ok(client.bytesSent > before);
    t.equal(relay.openedConnections, 1);
  });

  t.test('with damaged frames is closed and replaced', async t => {
    const {relay, call} = await startRelay(t);
    const answer = call();
    relay.inject(Buffer.from('00000001ffffffff00', 'hex'));
    await t.rejects(answer, {code: 'peer-unavailable'});
    t.match(await callUntilAnswered(call), {body: 1});
  });

  t.test('drops answers that nobody waits for any more', async t => {
    const {relay, client, call} = await startRelay(t);
    const late = encodeMessage({type: 'response', id: 1, body: 'late'});
    relay.inject(encodeFrame(late, 100));
    t.match(await call(), {body: 1});
    t.equal(client.lateResponses, 1);
  });

  t.test('that sends rubbish does not harm the server', async t => {
    const {peer} = await startServer(t);
    const rubbish = [
      Buffer.from('ffffffff00000000', 'hex'),
      encodeFrame(Buffer.from('rubbish'), 100),
    ];
    for (const bytes of rubbish) {
      const socket = createConnection(peer.port, HOST);
      socket.write(bytes);
      await new Promise(resolve => socket.on('close', resolve));
    }
    t.match(await createClient(t).call(peer, 'echo', 5, 5000), {body: 5});
  });
});
