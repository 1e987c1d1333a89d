import {createServer, type RequestListener, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import fc from 'fast-check';
import t, {type Test} from 'tap';
import type {LogPage} from '@galenavalve/ledger';
import {type ErrorCode, isFailure} from '@galenavalve/shared';
import {HttpLog} from '../src/index.js';

const TIMEOUT_MS = 200;

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

function answerWith(status: number, body: unknown): RequestListener {
  return (request, response) => {
    request.resume();
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  };
}

t.test('an append', async t => {
  const cases: [string, RequestListener, ErrorCode][] = [
    [
      'that the service refuses in an outage was rejected',
      answerWith(503, {code: 'outage', message: 'outage', written: false}),
      'append-rejected',
    ],
    [
      'over the budget was rejected',
      answerWith(429, {
        code: 'append-budget-used',
        message: 'used up',
        written: false,
      }),
      'append-rejected',
    ],
    [
      'that something else answers with 503 is uncertain',
      answerWith(503, {message: 'bad gateway'}),
      'append-uncertain',
    ],
    [
      'with a receipt for another number of values is uncertain',
      answerWith(200, {firstOffset: 4, nextOffset: 9}),
      'append-uncertain',
    ],
    [
      'with a broken answer is uncertain',
      (_request, response) => response.end('{"firstOff'),
      'append-uncertain',
    ],
    [
      'whose connection is cut is uncertain',
      request => request.socket.destroy(),
      'append-uncertain',
    ],
    ['that is never answered is uncertain', () => {}, 'append-uncertain'],
    [
      'with an endless answer is uncertain',
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

  t.test('that finds no listener was rejected', async t => {
    const {url, server} = await startService(t, () => {});
    await new Promise(resolve => server.close(resolve));
    const log = createLog(t, url);
    await t.rejects(log.append([{}], TIMEOUT_MS), {code: 'append-rejected'});
  });
});

t.test('a read', async t => {
  t.test('tells the oldest offset when its own has expired', async t => {
    const refusal = {
      code: 'offset-expired',
      message: 'expired',
      written: false,
      oldestOffset: 7,
    };
    const {url} = await startService(t, answerWith(410, refusal));
    const read = createLog(t, url).read(3, {limit: 9, wait: 0, timeout: 500});
    await t.rejects(read, {code: 'offset-expired', details: {oldest: 7}});
  });

  t.test('refuses a page that skips a record', async t => {
    const page = {
      entries: [{offset: 4, value: 1}],
      nextOffset: 5,
      endOffset: 5,
      oldestOffset: 0,
    };
    const {url} = await startService(t, answerWith(200, page));
    const read = createLog(t, url).read(3, {limit: 9, wait: 0, timeout: 500});
    await t.rejects(read, {code: 'read-failed'});
  });
});

t.test('a pooled connection that went silent is not used again', async t => {
  const silent = new Set<Socket>();
  const {url, sockets} = await startService(t, (request, response) => {
    if (silent.has(request.socket)) {
      return;
    }
    const answer = answerWith(200, {firstOffset: 0, nextOffset: 1});
    setTimeout(() => void answer(request, response), 20);
  });
  const log = createLog(t, url);
  await Promise.all([1, 2, 3].map(() => log.append([{}], 1000)));
  sockets.forEach(socket => silent.add(socket));
  t.equal(silent.size, 3);

  await t.rejects(log.append([{}], TIMEOUT_MS), {code: 'append-uncertain'});
  await t.resolves(log.append([{}], 1000), 'the next one opens a connection');
});

t.test('answers of any form end in a page, a receipt or a failure', t => {
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
      const {url} = await startService(t, answerWith(status, body));
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

/** A page that the fold can take: no record is skipped or repeated. */
function isPageFrom(offset: number, page: LogPage): boolean {
  const {entries, nextOffset} = page;
  return (
    entries.every((entry, index) => entry.offset === offset + index) &&
    nextOffset === offset + entries.length
  );
}
