import t, {type Test} from 'tap';
import {HttpInstanceList, HttpLog} from '@galenavalve/platform';
import type {ListedInstance} from '@galenavalve/membership';
import {ManualClock} from '@galenavalve/shared';
import {
  type LogServerOptions,
  startInstanceServer,
  startLogServer,
} from '../src/index.js';

const LOCAL = {host: '127.0.0.1', port: 0};

async function startLog(test: Test, options: Partial<LogServerOptions> = {}) {
  const server = await startLogServer({...LOCAL, ...options});
  const log = new HttpLog({baseUrl: server.url});
  test.teardown(async () => {
    log.close();
    await server.close();
  });
  return {server, log};
}

function createInstance(id: string): ListedInstance {
  return {id, domain: 'jnb', role: 'entry', state: 'live'};
}

t.test('log stand-in', async t => {
  t.test('returns appended records', async t => {
    const {log} = await startLog(t);
    t.same(await log.append([{a: 1}, {a: 2}], 1000), {
      firstOffset: 0,
      nextOffset: 2,
    });
    const page = await log.read(1, {limit: 10, wait: 0, timeout: 1000});
    t.same(page, {
      entries: [{offset: 1, value: {a: 2}}],
      nextOffset: 2,
      endOffset: 2,
      oldestOffset: 0,
    });
  });

  t.test(
    'responds to a waiting read as soon as a record is appended',
    async t => {
      const {log} = await startLog(t);
      const read = log.read(0, {limit: 10, wait: 20_000, timeout: 30_000});
      await log.append(['x'], 1000);
      t.same((await read).entries, [{offset: 0, value: 'x'}]);
    },
  );

  t.test('drops the oldest records beyond its retention', async t => {
    const {log} = await startLog(t, {retentionRecords: 2});
    await log.append([1, 2, 3], 1000);
    const read = log.read(0, {limit: 10, wait: 0, timeout: 1000});
    await t.rejects(read, {code: 'offset-expired', details: {oldest: 1}});
  });

  t.test(
    'rejects appends beyond its rate limit or during an outage',
    async t => {
      const clock = new ManualClock();
      const {log, server} = await startLog(t, {appendsPerSecond: 1, clock});
      const control = {method: 'POST', body: '{"outage":true}'};
      const headers = {'content-type': 'application/json'};
      await log.append([1], 1000);
      await t.rejects(log.append([2], 1000), {code: 'append-rejected'});
      await fetch(`${server.url}/control`, {...control, headers});
      await clock.advance(1000);
      await t.rejects(log.append([3], 1000), {code: 'append-rejected'});
      t.equal(server.log.endOffset, 1);
    },
  );

  t.test('can drop the response of an append that took effect', async t => {
    const {log, server} = await startLog(t);
    server.applyControl({loseAnswers: 1});
    await t.rejects(log.append([1], 1000), {code: 'append-uncertain'});
    t.equal(server.log.endOffset, 1);
  });
});

t.test(
  'an append can take effect long after its connection was closed',
  async t => {
    const clock = new ManualClock();
    const {log, server} = await startLog(t, {clock});
    server.applyControl({delayedAppendMs: 5000});
    await t.rejects(log.append([1], 1000), {code: 'append-uncertain'});
    t.equal(server.log.endOffset, 0);
    await clock.advance(5000);
    t.equal(server.log.endOffset, 1);
  },
);

t.test('the instance list shows changes after a lag', async t => {
  const clock = new ManualClock();
  const server = await startInstanceServer({
    ...LOCAL,
    instances: [createInstance('a'), createInstance('b')],
    lagMs: 500,
    clock,
  });
  const list = new HttpInstanceList({baseUrl: server.url});
  t.teardown(async () => {
    list.close();
    await server.close();
  });
  server.applyChange({states: {a: 'leaving'}, remove: ['b']});
  t.equal((await list.list(1000)).length, 2);
  await clock.advance(500);
  t.same(await list.list(1000), [{...createInstance('a'), state: 'leaving'}]);
  server.applyChange({outage: true});
  await t.rejects(list.list(1000), {code: 'instances-unavailable'});
});
