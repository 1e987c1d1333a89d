import t from 'tap';
import {HttpTargetClient} from '@galenavalve/platform';
import {
  type Reservation,
  type StartCommand,
  type TargetAddress,
  toLeaseKey,
} from '@galenavalve/targets';
import {startTargetServer} from '../src/index.js';

const TIMEOUT_MS = 2000;
const SHORT_TIMEOUT_MS = 100;
const TERM = {log: 1, outage: 0, instance: 'i1'};
const KEY = {jobId: 'job1', attempt: 1};

async function createTarget(test: Pick<typeof t, 'teardown'>) {
  const server = await startTargetServer({
    host: '127.0.0.1',
    port: 0,
    targets: [
      {id: 't0', slots: 8, accelerators: 8, processors: 64, memoryMb: 1024},
    ],
  });
  const client = new HttpTargetClient();
  test.teardown(async () => {
    client.close();
    await server.close();
  });
  const address: TargetAddress = {
    id: 't0',
    endpoint: `${server.url}/targets/t0`,
  };
  return {client, address, control: server.control};
}

function createReservation(changes: Partial<Reservation> = {}): Reservation {
  return {
    ...KEY,
    term: TERM,
    workspace: 'escorts',
    firstTask: 0,
    tasks: 1,
    accelerators: 1,
    processors: 1,
    memoryMb: 10,
    checkpointable: false,
    ttlMs: 60_000,
    ...changes,
  };
}

function createStart(grantedAt: number, durationMs: number): StartCommand {
  return {
    ...KEY,
    term: TERM,
    grantedAt,
    leaseMs: 60_000,
    progressSeconds: 0,
    payload: {durationMs},
  };
}

t.test('target stand-in over HTTP', async t => {
  t.test('reserves, starts, renews, throttles and stops', async t => {
    const {client, address} = await createTarget(t);
    const reservation = createReservation();
    const {grantedAt} = await client.reserve(address, reservation, TIMEOUT_MS);
    await client.start(address, createStart(grantedAt, 60_000), TIMEOUT_MS);
    const renewal = {term: TERM, leaseMs: 60_000, leases: [KEY], forget: []};
    const report = await client.renew(address, renewal, TIMEOUT_MS);
    t.match(report, {target: 't0', leases: [{...KEY, state: 'running'}]});
    const limit = {...KEY, term: TERM, processors: 0.5};
    await client.throttle(address, limit, TIMEOUT_MS);
    const stop = {...KEY, term: TERM, checkpoint: false, graceMs: 0};
    const ended = await client.stop(address, stop, TIMEOUT_MS);
    t.match(ended && toLeaseKey(ended), KEY);
    const other = {...stop, jobId: 'job2'};
    t.equal(await client.stop(address, other, TIMEOUT_MS), undefined);
  });

  t.test(
    'refuses a lower term, and the client reports the refusal',
    async t => {
      const {client, address} = await createTarget(t);
      const term = {...TERM, log: 2};
      await client.fence(address, {term}, TIMEOUT_MS);
      await t.rejects(
        client.reserve(address, createReservation(), TIMEOUT_MS),
        {
          code: 'target-refused',
          details: {target: 't0'},
        },
      );
    },
  );

  t.test('is unreachable when crashed, silent or unknown', async t => {
    const {client, address, control} = await createTarget(t);
    const unreachable = {code: 'target-unreachable'};
    const fence = (target: TargetAddress, timeoutMs: number) =>
      client.fence(target, {term: TERM}, timeoutMs);
    await t.rejects(fence({...address, id: 't9'}, TIMEOUT_MS), unreachable);
    control.applyChange({target: 't0', silent: true});
    await t.rejects(fence(address, SHORT_TIMEOUT_MS), unreachable);
    control.applyChange({target: 't0', silent: false, dead: true});
    await t.rejects(fence(address, TIMEOUT_MS), unreachable);
    control.applyChange({target: 't0', dead: false});
    t.match(await fence(address, TIMEOUT_MS), {target: 't0'});
  });
});
