import t, {type Test} from 'tap';
import {SystemClock} from '@galenavalve/shared';
import type {ReportEvent} from '../src/index.js';
import {type RunningInstance, startInstance, waitFor} from './fixtures.js';

const clock = new SystemClock();

async function startPair(t: Test): Promise<[RunningInstance, RunningInstance]> {
  const first = await startInstance('a1', 'north', []);
  const second = await startInstance('a2', 'north', [first.seed]);
  t.teardown(() => Promise.all([first.stop(), second.stop()]));
  await waitFor(() => knows(first, second) && knows(second, first));
  return [first, second];
}

function knows(node: RunningInstance, other: RunningInstance): boolean {
  return node.mesh.isAlive(other.seed.instance, clock.now());
}

t.test('a mesh', async t => {
  t.test('learns of a peer that opens a connection', async t => {
    const [first, second] = await startPair(t);
    t.match(first.mesh.findAddress('a2'), {port: second.seed.port});
    t.same(second.mesh.listAlive('north', clock.now()).sort(), ['a1', 'a2']);
  });

  t.test('suspects a peer that stops, and finds it again', async t => {
    const [first, second] = await startPair(t);
    await second.stop();
    await waitFor(() => !knows(first, second));
    const again = await startInstance('a2', 'north', [first.seed]);
    t.teardown(() => again.stop());
    await waitFor(() => knows(first, again));
    t.equal(first.mesh.findAddress('a2')?.port, again.seed.port);
  });

  t.test('passes a hold on across failure domains', async t => {
    const [first, second] = await startPair(t);
    const third = await startInstance('b1', 'south', [second.seed]);
    t.teardown(() => third.stop());
    third.mesh.addHold({entity: 'domain/north', by: 'ops', id: 'h1'});
    await waitFor(() => first.mesh.isHeld('domain/north'));
    first.mesh.onEntityAccepted('domain/north', 20);
    second.mesh.onEntityAccepted('domain/north', 20);
    third.mesh.onEntityAccepted('domain/north', 20);
    t.notOk(first.mesh.isHeld('domain/north'));
  });

  t.test('outlives connections that go silent for good', async t => {
    const [first, second] = await startPair(t);
    const before = second.relay.openedConnections;
    second.relay.stallConnections();
    await waitFor(() => second.relay.openedConnections > before);
    await waitFor(() => knows(first, second) && knows(second, first));
  });

  for (const mode of ['cut-requests', 'cut-answers'] as const) {
    t.test(`goes the other way round after "${mode}"`, async t => {
      const [first, second] = await startPair(t);
      second.relay.setMode(mode);
      await waitFor(() => first.relay.openedConnections > 0);
      await waitFor(() => knows(first, second) && knows(second, first));
      first.relay.setMode(mode);
      await waitFor(() => !knows(first, second) && !knows(second, first));
      second.relay.setMode('open');
      await waitFor(() => knows(first, second) && knows(second, first));
    });
  }

  t.test('bounds the age of a report by the echo of its own beat', async t => {
    const [first, second] = await startPair(t);
    const events: ReportEvent[] = [];
    first.mesh.addReportListener(event => events.push(event));
    second.report.freshnessAgeMs = 70;
    await waitFor(() =>
      events.some(({report}) => report.freshnessAgeMs === 70),
    );
    await waitFor(() => events.some(({madeAfter}) => madeAfter !== undefined));
    t.ok(events.every(({madeAfter = 0, receivedAt}) => madeAfter < receivedAt));
  });
});
