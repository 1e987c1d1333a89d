import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import type {LogPage} from '@galenavalve/ledger';
import {type ErrorCode, isFailure} from '@galenavalve/shared';
import {HttpLog} from '../src/index.js';

const TIMEOUT_MS = 200;

/** HTTP server with a test's own request listener. */
interface Service {
  url: string;
  server: Server;
  sockets: Set<Socket>;
}

async function startService(
  test: Test,
  listener: RequestListener,
): Promise<Service> {
  const server = createServer(listener);
  const sockets = new Set<Socket>();
  server.on('connection', socket => sockets.add(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, server, sockets};
}

function createLog(test: Test, baseUrl: string): HttpLog {
  const log = new HttpLog({baseUrl});
  test.teardown(() => log.close());
  return log;
}

function respondWith(status: number, body: unknown): RequestListener {
  return (request, response) => {
    request.resume();
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  };
}

t.test('HttpLog append', async t => {
  const cases: [string, RequestListener, ErrorCode][] = [
    [
      'is rejected when the service refuses it during an outage',
      respondWith(503, {code: 'outage', message: 'outage', written: false}),
      'append-rejected',
    ],
    [
      'is rejected beyond the rate limit',
      respondWith(429, {
        code: 'append-budget-used',
        message: 'used up',
        written: false,
      }),
      'append-rejected',
    ],
    [
      'is uncertain when the 503 is not a refusal of the log service',
      respondWith(503, {message: 'bad gateway'}),
      'append-uncertain',
    ],
    [
      'is uncertain when the receipt is for another number of values',
      respondWith(200, {firstOffset: 4, nextOffset: 9}),
      'append-uncertain',
    ],
    [
      'is uncertain when the response is truncated',
      (_request, response) => response.end('{"firstOff'),
      'append-uncertain',
    ],
    [
      'is uncertain when the connection is closed',
      request => request.socket.destroy(),
      'append-uncertain',
    ],
    ['is uncertain when there is no response', () => {}, 'append-uncertain'],
    [
      'is uncertain when the response does not end',
      (_request, response) => {
        const timer = setInterval(() => response.write('x'.repeat(4096)), 1);
        response.on('close', () => clearInterval(timer));
      },
      'append-uncertain',
    ],
  ];
  for (const [name, listener, code] of cases) {
    t.test(name, async t => {
      const {url} = await startService(t, listener);
      await t.rejects(createLog(t, url).append([{}], TIMEOUT_MS), {code});
    });
  }

  t.test('is rejected when the connection is refused', async t => {
    const {url, server} = await startService(t, () => {});
    await new Promise(resolve => server.close(resolve));
    const log = createLog(t, url);
    await t.rejects(log.append([{}], TIMEOUT_MS), {code: 'append-rejected'});
  });
});

t.test('HttpLog read', async t => {
  t.test(
    'reports the oldest offset when the requested one has expired',
    async t => {
      const refusal = {
        code: 'offset-expired',
        message: 'expired',
        written: false,
        oldestOffset: 7,
      };
      const {url} = await startService(t, respondWith(410, refusal));
      const read = createLog(t, url).read(3, {limit: 9, wait: 0, timeout: 500});
      await t.rejects(read, {code: 'offset-expired', details: {oldest: 7}});
    },
  );

  t.test('rejects a page that skips a record', async t => {
    const page = {
      entries: [{offset: 4, value: 1}],
      nextOffset: 5,
      endOffset: 5,
      oldestOffset: 0,
    };
    const {url} = await startService(t, respondWith(200, page));
    const read = createLog(t, url).read(3, {limit: 9, wait: 0, timeout: 500});
    await t.rejects(read, {code: 'read-failed'});
  });
});

t.test('a pooled connection that stopped responding is not reused', async t => {
  const silent = new Set<Socket>();
  const {url, sockets} = await startService(t, (request, response) => {
    if (silent.has(request.socket)) {
      return;
    }
    const respond = respondWith(200, {firstOffset: 0, nextOffset: 1});
    setTimeout(() => void respond(request, response), 20);
  });
  const log = createLog(t, url);
  await Promise.all([1, 2, 3].map(() => log.append([{}], 1000)));
  sockets.forEach(socket => silent.add(socket));
  t.equal(silent.size, 3);

  await t.rejects(log.append([{}], TIMEOUT_MS), {code: 'append-uncertain'});
  await t.resolves(
    log.append([{}], 1000),
    'the next append opens a new connection',
  );
});

t.test('any response yields a page, a receipt or a Failure', t => {
  const entries = fc.array(
    fc.record({offset: fc.nat(4), value: fc.jsonValue()}),
    {maxLength: 3},
  );
  const offset = fc.oneof(fc.nat(4), fc.constant(-1), fc.constant(0.5));
  const body = fc.oneof(
    fc.record(
      {entries, nextOffset: offset, endOffset: offset, oldestOffset: offset},
      {requiredKeys: ['entries']},
    ),
    fc.record({firstOffset: offset, nextOffset: offset}),
    fc.record({code: fc.string(), message: fc.string()}),
    fc.jsonValue(),
  );
  const status = fc.constantFrom(200, 204, 302, 400, 410, 429, 500, 503);
  return fc.assert(
    fc.asyncProperty(status, body, async (status, body) => {
      const {url} = await startService(t, respondWith(status, body));
      const log = createLog(t, url);
      const options = {limit: 9, wait: 0, timeout: 1000};
      const page = await log.read(1, options).catch((error: unknown) => error);
      t.ok(isFailure(page) || isPageFrom(1, page as LogPage));
      const receipt = await log.append([{}], 1000).catch((e: unknown) => e);
      const isReceipt = !(receipt instanceof Error);
      t.ok(isReceipt || isFailure(receipt, 'append-uncertain'));
    }),
    {numRuns: 100, seed: 31},
  );
});

/** Whether the fold can apply the page: no record is skipped or repeated. */
function isPageFrom(offset: number, page: LogPage): boolean {
  const {entries, nextOffset} = page;
  return (
    entries.every((entry, index) => entry.offset === offset + index) &&
    nextOffset === offset + entries.length
  );
}
