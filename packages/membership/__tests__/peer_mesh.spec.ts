import t, {type Test} from 'tap';
import {SystemClock} from '@galenavalve/shared';
import type {ReportEvent} from '../src/index.js';
import {type RunningInstance, startInstance, waitFor} from './fixtures.js';

const clock = new SystemClock();

async function startPair(t: Test): Promise<[RunningInstance, RunningInstance]> {
  const first = await startInstance('a1', 'north', []);
  const second = await startInstance('a2', 'north', [first.endpoint]);
  t.teardown(() => Promise.all([first.stop(), second.stop()]));
  await waitFor(() => isPeerAlive(first, second) && isPeerAlive(second, first));
  return [first, second];
}

function isPeerAlive(
  instance: RunningInstance,
  peer: RunningInstance,
): boolean {
  return instance.mesh.isAlive(peer.endpoint.instance, clock.now());
}

t.test('a mesh', async t => {
  t.test('learns the address of a peer that opens a connection', async t => {
    const [first, second] = await startPair(t);
    t.match(first.mesh.findAddress('a2'), {port: second.endpoint.port});
    t.same(second.mesh.listAlive('north', clock.now()).sort(), ['a1', 'a2']);
  });

  t.test(
    'suspects a peer that stops, and finds it after its restart',
    async t => {
      const [first, second] = await startPair(t);
      await second.stop();
      await waitFor(() => !isPeerAlive(first, second));
      const restarted = await startInstance('a2', 'north', [first.endpoint]);
      t.teardown(() => restarted.stop());
      await waitFor(() => isPeerAlive(first, restarted));
      t.equal(first.mesh.findAddress('a2')?.port, restarted.endpoint.port);
    },
  );

  t.test('spreads a hold across failure domains', async t => {
    const [first, second] = await startPair(t);
    const third = await startInstance('b1', 'south', [second.endpoint]);
    t.teardown(() => third.stop());
    third.mesh.addHold({entity: 'domain/north', by: 'ops', id: 'h1'});
    await waitFor(() => first.mesh.isHeld('domain/north'));
    first.mesh.onEntityAccepted('domain/north', 20);
    second.mesh.onEntityAccepted('domain/north', 20);
    third.mesh.onEntityAccepted('domain/north', 20);
    t.notOk(first.mesh.isHeld('domain/north'));
  });

  t.test('replaces connections that stall permanently', async t => {
    const [first, second] = await startPair(t);
    const openedBefore = second.proxy.openedConnections;
    second.proxy.stallConnections();
    await waitFor(() => second.proxy.openedConnections > openedBefore);
    await waitFor(
      () => isPeerAlive(first, second) && isPeerAlive(second, first),
    );
  });

  for (const mode of ['cut-requests', 'cut-answers'] as const) {
    t.test(`connects in the opposite direction after "${mode}"`, async t => {
      const [first, second] = await startPair(t);
      second.proxy.setMode(mode);
      await waitFor(() => first.proxy.openedConnections > 0);
      await waitFor(
        () => isPeerAlive(first, second) && isPeerAlive(second, first),
      );
      first.proxy.setMode(mode);
      await waitFor(
        () => !isPeerAlive(first, second) && !isPeerAlive(second, first),
      );
      second.proxy.setMode('open');
      await waitFor(
        () => isPeerAlive(first, second) && isPeerAlive(second, first),
      );
    });
  }

  t.test(
    'bounds the age of a report by the echo of its own heartbeat',
    async t => {
      const [first, second] = await startPair(t);
      const events: ReportEvent[] = [];
      first.mesh.addReportListener(event => events.push(event));
      second.report.freshnessAgeMs = 70;
      await waitFor(() =>
        events.some(({report}) => report.freshnessAgeMs === 70),
      );
      await waitFor(() =>
        events.some(({madeAfter}) => madeAfter !== undefined),
      );
      t.ok(
        events.every(({madeAfter = 0, receivedAt}) => madeAfter < receivedAt),
      );
    },
  );
});
