import t from 'tap';
import {
  DEFAULT_SETTINGS,
  DispatchService,
  type FencedAppendOutcome,
  type FencingToken,
  NoAdvisor,
  type PollRequest,
  type TargetPort,
  type TargetRegistry,
} from '@galenavalve/dispatch';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {
  type Follower,
  JobTable,
  type KeyedRecord,
  encodeLeadership,
} from '@galenavalve/workload';
import {createTarget} from './fixtures.js';

/** Clock of a process that can be suspended: only the wall clock advances meanwhile. */
class SuspendableClock extends ManualClock {
  private suspendedFor = 0;

  suspend(duration: number): void {
    this.suspendedFor += duration;
  }

  override wallTime(): number {
    return super.wallTime() + this.suspendedFor;
  }
}

/** Creates a service that may claim leadership at once. Appends after the claim get no response. */
function createService(events: {
  onClaimed?: (clock: SuspendableClock) => void;
  onRegistryOpened?: (table: JobTable) => void;
}) {
  const clock = new SuspendableClock(100_000);
  const logger = new SilentLogger();
  const random = new SeededRandom(1);
  const table = new JobTable(logger);
  const polls: PollRequest[] = [];
  let appends = 0;
  const log = {
    appendFenced: async (
      _fencing: FencingToken,
      records: readonly KeyedRecord[],
    ): Promise<FencedAppendOutcome> => {
      if (++appends > 1) {
        return new Promise(() => undefined);
      }
      records.forEach(record => table.apply({...record, offset: 0}));
      return {kind: 'appended', offset: 0};
    },
  };
  const follower = {
    isCaughtUp: true,
    nextOffset: 0,
    readToEnd: async () => true,
    waitForOffset: async () => {
      events.onClaimed?.(clock);
      return true;
    },
  } as unknown as Follower;
  const targets: TargetPort = {
    start: async () => ({kind: 'unknown', problem: 'not used'}),
    stop: async () => ({kind: 'unknown', problem: 'not used'}),
    poll: async (_target, request) => {
      polls.push(request);
      await clock.sleep(10);
      const listing = {born: 1, clock: clock.now(), running: [], ended: []};
      return {kind: 'listed', listing};
    },
  };
  const registry: TargetRegistry = {
    open: async () => {
      events.onRegistryOpened?.(table);
      return [createTarget('a', 'r', 0).info];
    },
    close: () => undefined,
  };
  const service = new DispatchService(
    {
      table,
      log,
      targets,
      advisor: new NoAdvisor(),
      rules: () => ({guarantees: new Map(), evacuated: new Set()}),
      settings: DEFAULT_SETTINGS,
      clock,
      random,
      logger,
    },
    follower,
    registry,
    'a/1',
    () => ({rank: 0, isWeak: false}),
  );
  /** Runs the service until it has claimed leadership, and 200 ms longer. */
  const claim = async () => {
    void service.run();
    while (appends === 0) {
      service.onLogResponse(clock.now());
      await clock.advance(100);
    }
    await clock.advance(200);
  };
  return {service, claim, polls};
}

t.test('a leader extends leases after its claim is confirmed', async t => {
  const {service, claim, polls} = createService({});
  await claim();
  t.ok(service.isDispatching);
  t.ok(polls.some(({leaseUntil}) => leaseUntil !== undefined));
});

// Guards against a process that is suspended after its claim and then acts on it although another leads.
t.test(
  'a leader that was suspended between its claim and its first poll extends no lease before its next append',
  async t => {
    const {claim, polls} = createService({
      onClaimed: clock => clock.suspend(10_000),
    });
    await claim();
    t.ok(polls.length > 0);
    t.notOk(polls.some(({leaseUntil}) => leaseUntil !== undefined));
  },
);

// Guards against a former leader that polls, starts and stops after a hand-over which it has read of before it began.
t.test(
  'a claim that is superseded while the registry is read never leads',
  async t => {
    const {service, claim, polls} = createService({
      onRegistryOpened: table => {
        const record = encodeLeadership({epoch: 1e9, holder: 'b/1'});
        table.apply({...record, offset: 1});
      },
    });
    await claim();
    t.notOk(service.isDispatching);
    t.same(polls, []);
  },
);
