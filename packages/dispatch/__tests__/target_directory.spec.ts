import t from 'tap';
import type {TargetInfo, TargetState} from '@galenavalve/dispatch';
import {TargetDirectory} from '../src/target_directory.js';
import {createTarget} from './fixtures.js';

const WALL_NOW = 1_000_000_000;
const DAY_MS = 86_400_000;

function createInfo(values: Partial<TargetInfo> = {}): TargetInfo {
  const {info} = createTarget('w', 'r', 0);
  return {...info, born: WALL_NOW - 5000, ...values};
}

/** Creates a directory with the target `w`; `events` collects what it reports. */
function createDirectory() {
  const events: string[] = [];
  const targets = new Map<string, TargetState>();
  const directory = new TargetDirectory(
    {
      onTargetAdded: target => {
        events.push(`added ${target.info.born}`);
        targets.set(target.info.id, target);
      },
      onTargetReplaced: (target, next) =>
        events.push(`replaced ${target.info.born} ${next.info.born}`),
      onTargetContested: (_target, info) =>
        events.push(`contested ${info.born}`),
      onEntryIgnored: info => events.push(`ignored ${info.born}`),
    },
    0,
  );
  const info = createInfo();
  directory.onRegistered(info, 0, WALL_NOW);
  const target = targets.get('w')!;
  const respond = (now: number) => {
    target.hasListing = true;
    target.onResponse(1, now, now);
  };
  events.length = 0;
  return {directory, events, info, respond, target, targets};
}

// Guards against an entry with a huge start time, after which no later entry of the id counts (issue 33).
t.test('an entry from the future names no target', async t => {
  const {directory, events, info, targets} = createDirectory();
  for (const born of [WALL_NOW + 2 * DAY_MS, Number.MAX_SAFE_INTEGER]) {
    directory.onRegistered(createInfo({id: 'odd', born}), 0, WALL_NOW);
    directory.onRegistered(createInfo({born}), 0, WALL_NOW);
    t.same(events.splice(0), [`ignored ${born}`, `ignored ${born}`]);
  }
  t.same([...targets.keys()], ['w']);
  const restarted = createInfo({id: 'odd', born: WALL_NOW + 60_000});
  directory.onRegistered(restarted, 0, WALL_NOW);
  t.same(events, [`added ${restarted.born}`], 'clocks differ by a minute');
  t.equal(targets.get('w')!.info, info);
});

// Guards against the end of the runs of a working target by an entry of another writer (issue 33).
t.test('a target that responds is not replaced by an entry', async t => {
  const {directory, events, respond, target} = createDirectory();
  const odd = createInfo({born: WALL_NOW, address: 'b:1'});
  respond(0);
  directory.onRegistered(odd, 1000, WALL_NOW);
  for (let now = 1000; now < 60_000; now += 500) {
    respond(now);
    directory.settleContested(now);
  }
  t.same(events, [`contested ${odd.born}`]);
  t.notOk(target.isRemoved);
  directory.onRegistered(createInfo({address: 'b:1'}), 60_000, WALL_NOW);
  t.equal(target.info.address, 'a:1');
});

t.test('a silent target is replaced by the entry of its restart', async t => {
  const {directory, events, info, respond, target} = createDirectory();
  const restarted = createInfo({born: WALL_NOW, address: 'b:1'});
  respond(0);
  directory.onRegistered(restarted, 1000, WALL_NOW);
  target.unresponsiveSince = 1100;
  directory.settleContested(3000);
  t.notOk(target.isRemoved);
  directory.settleContested(3100);
  t.same(events.splice(0), [
    `contested ${restarted.born}`,
    `added ${restarted.born}`,
    `replaced ${info.born} ${restarted.born}`,
  ]);
});

// Guards against a restart that is known only by its response and has no entry, so that nothing is placed on it.
t.test('the response of a restarted target confirms its entry', async t => {
  const {directory, respond, target, targets} = createDirectory();
  const restarted = createInfo({born: WALL_NOW, labels: ['new']});
  respond(0);
  directory.onRegistered(restarted, 1000, WALL_NOW);
  directory.onOtherIncarnation(target, restarted.born);
  t.ok(target.isRemoved);
  t.ok(targets.get('w')!.isRegistered);
  t.same(targets.get('w')!.info, restarted);
});

t.test(
  'a target that was replaced wrongly is back when it responds',
  async t => {
    const {directory, info, respond, target, targets} = createDirectory();
    const odd = createInfo({born: WALL_NOW});
    respond(0);
    target.unresponsiveSince = 100;
    directory.onRegistered(odd, 5000, WALL_NOW);
    t.equal(targets.get('w')!.info, odd);
    directory.onOtherIncarnation(targets.get('w')!, info.born);
    t.same(targets.get('w')!.info, info);
    t.ok(targets.get('w')!.isRegistered);
  },
);

// Guards against an odd entry that shuts out each entry of its id with an earlier start time (issue 33).
t.test('an entry that never responds gives way to an earlier one', async t => {
  const {directory, target, targets, info} = createDirectory();
  const earlier = createInfo({born: info.born - 1000, address: 'b:1'});
  target.unresponsiveSince = 0;
  directory.onRegistered(earlier, 500, WALL_NOW);
  t.equal(targets.get('w'), target);
  directory.settleContested(2000);
  t.equal(targets.get('w')!.info, earlier);
});

// Guards against an incarnation that is known from records and is never polled once it responds.
t.test(
  'an incarnation that records name is polled when it responds',
  async t => {
    const {directory, events, target} = createDirectory();
    const incarnation = `w@${WALL_NOW - 9000}`;
    const known = directory.findOrCreateIncarnation({
      incarnation,
      address: 'a:1',
    });
    directory.onOtherIncarnation(target, WALL_NOW - 9000);
    t.equal(events[0], `added ${WALL_NOW - 9000}`);
    t.ok([...directory.listTargets()].includes(known));
  },
);

t.test('a successor counts when it has responded', async t => {
  const {directory, targets, target} = createDirectory();
  const odd = createInfo({id: 'odd', born: WALL_NOW});
  directory.onRegistered(odd, 0, WALL_NOW);
  t.equal(directory.findSuccessor(target), undefined);
  targets.get('odd')!.hasListing = true;
  t.equal(directory.findSuccessor(target), targets.get('odd'));
});

// Guards against a restart at another address that is never polled because the former entry is read once more.
t.test('a repeated entry does not drop that of a restart', async t => {
  const {directory, info, respond, targets} = createDirectory();
  const restarted = createInfo({born: WALL_NOW, address: 'b:1'});
  const target = targets.get('w')!;
  respond(1000);
  directory.onRegistered(restarted, 1010, WALL_NOW);
  directory.onRegistered(info, 1020, WALL_NOW);
  target.unresponsiveSince = 1100;
  directory.settleContested(3200);
  t.equal(targets.get('w')!.info.born, restarted.born);
});

// Guards against late commands to a former incarnation that are accepted by the next one, since both have the same epoch after an entry of another writer.
t.test(
  'each restart raises the epoch offset also after an entry with a later start time',
  async t => {
    const {directory, info, respond, target, targets} = createDirectory();
    respond(0);
    const odd = createInfo({born: info.born + 3_600_000});
    directory.onRegistered(odd, 1000, WALL_NOW);
    target.unresponsiveSince = 1100;
    directory.settleContested(4000);
    t.equal(targets.get('w')!.info.born, odd.born, 'the entry applies');
    directory.onOtherIncarnation(targets.get('w')!, info.born);
    const back = targets.get('w')!;
    t.equal(back.info.born, info.born, 'the target is back');
    back.hasListing = true;
    directory.onOtherIncarnation(back, info.born + 60_000);
    const next = targets.get('w')!;
    t.equal(next.info.born, info.born + 60_000, 'the target has restarted');
    t.ok(next.epochOffset > back.epochOffset);
  },
);

// Guards against late commands to a former incarnation that are accepted by the next one, since the clock of its machine was set back before it started.
t.test(
  'a restart raises the epoch offset also if its start time is earlier',
  async t => {
    const {directory, info, respond, target, targets} = createDirectory();
    respond(0);
    directory.onOtherIncarnation(target, info.born - 1000);
    const next = targets.get('w')!;
    t.equal(next.info.born, info.born - 1000, 'the target has restarted');
    t.ok(next.epochOffset > target.epochOffset);
  },
);
