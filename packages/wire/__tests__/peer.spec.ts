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

/** Starts a server with test methods; resolves to it and its address. */
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

/** Repeats a call until it succeeds, for at most 10 s. */
async function retryUntilSuccess(call: () => Promise<unknown>) {
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

t.test('a peer call', async t => {
  t.test(
    'resolves to the response, or rejects with the failure of the peer',
    async t => {
      const {peer} = await startServer(t);
      const client = createClient(t);
      const response = await client.call(peer, 'echo', 7, 5000);
      t.same(response, {body: 7, from: 'a'});
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
    },
  );

  t.test(
    'receives its own response, and late responses are discarded',
    async t => {
      const {peer} = await startServer(t);
      const client = createClient(t);
      const slow = client.call(peer, 'slow', 120, 5000);
      await t.rejects(client.call(peer, 'slow', 60, 20), {
        code: 'peer-timeout',
      });
      const many = [3, 2, 1].map(id => client.call(peer, 'echo', id, 5000));
      const responses = await Promise.all(many);
      t.match(responses, [{body: 3}, {body: 2}, {body: 1}]);
      t.equal(await slow, 120);
    },
  );

  t.test('fails when another instance serves the address', async t => {
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
    'fails at once when nothing listens, and succeeds after the peer has started',
    async t => {
      const first = await startServer(t);
      await first.server.close();
      const client = createClient(t);
      const call = () => client.call(first.peer, 'echo', 1, 5000);
      await t.rejects(call(), {code: 'peer-unavailable'});
      await startServer(t, first.peer.port);
      t.match(await retryUntilSuccess(call), {body: 1});
    },
  );
});

t.test('a peer connection', async t => {
  /** Starts a server behind a proxy, and a client that has called it once. */
  async function startProxy(t: Test) {
    const {server, peer} = await startServer(t);
    const proxy = new TcpProxy(peer.port);
    t.teardown(() => proxy.close());
    const client = createClient(t);
    const proxiedPeer = {...peer, port: await proxy.start()};
    const call = () => client.call(proxiedPeer, 'echo', 1, 5000);
    await call();
    return {server, proxy, client, call};
  }

  t.test('that stalls permanently is replaced', async t => {
    const {proxy, call} = await startProxy(t);
    proxy.stallConnections();
    await t.rejects(call(), {code: 'peer-unavailable'});
    t.match(await retryUntilSuccess(call), {body: 1});
    t.equal(proxy.openedConnections, 2);
  });

  for (const mode of ['cut-requests', 'cut-answers'] as const) {
    t.test(`is replaced after the fault "${mode}"`, async t => {
      const {proxy, call} = await startProxy(t);
      proxy.setMode(mode);
      await t.rejects(call(), {code: 'peer-unavailable'});
      proxy.setMode('open');
      t.match(await retryUntilSuccess(call), {body: 1});
    });
  }

  t.test('that is idle is kept open by heartbeats', async t => {
    const {proxy, client, call} = await startProxy(t);
    const before = client.bytesSent;
    await clock.sleep(3 * options.silenceTimeout!);
    await call();
    t.ok(client.bytesSent > before);
    t.equal(proxy.openedConnections, 1);
  });

  t.test('with corrupted frames is closed and replaced', async t => {
    const {proxy, call} = await startProxy(t);
    const response = call();
    proxy.inject(Buffer.from('00000001ffffffff00', 'hex'));
    await t.rejects(response, {code: 'peer-unavailable'});
    t.match(await retryUntilSuccess(call), {body: 1});
  });

  t.test('discards responses that match no pending call', async t => {
    const {proxy, client, call} = await startProxy(t);
    const late = encodeMessage({type: 'response', id: 1, body: 'late'});
    proxy.inject(encodeFrame(late, 100));
    t.match(await call(), {body: 1});
    t.equal(client.lateResponses, 1);
  });

  t.test(
    'that sends invalid bytes is closed, and the server keeps working',
    async t => {
      const {peer} = await startServer(t);
      const invalidInputs = [
        Buffer.from('ffffffff00000000', 'hex'),
        encodeFrame(Buffer.from('rubbish'), 100),
      ];
      for (const bytes of invalidInputs) {
        const socket = createConnection(peer.port, HOST);
        socket.write(bytes);
        await new Promise(resolve => socket.on('close', resolve));
      }
      t.match(await createClient(t).call(peer, 'echo', 5, 5000), {body: 5});
    },
  );
});
