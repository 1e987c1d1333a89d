import t from 'tap';
import type {TargetInfo, TargetState} from '@galenavalve/dispatch';
import {TargetDirectory} from '../src/target_directory.js';
import {createTarget} from './fixtures.js';

const IDLE_TIMEOUT = 10_000;

function createInfo(id: string, born: number): TargetInfo {
  return {...createTarget(id, 'r', 0).info, born};
}

/** Creates a directory and the list of the targets that it opened sessions with. */
function createDirectory() {
  const sessions: TargetState[] = [];
  const events = {
    onTargetAdded: (target: TargetState) => sessions.push(target),
    onTargetReplaced: () => undefined,
    onTargetContested: () => undefined,
    onEntryIgnored: () => undefined,
  };
  return {directory: new TargetDirectory(events, 0), sessions};
}

// Guards against capacity that is lost because a restarted target is never polled nor used.
t.test(
  'an incarnation that a record named before it was registered is polled and used once it replaces the former one',
  async t => {
    const {directory, sessions} = createDirectory();
    directory.onRegistered(createInfo('a', 1), 0, 0);
    const reference = {incarnation: 'a@2', address: 'a:1'};
    const named = directory.findOrCreateIncarnation(reference);
    sessions[0]!.unresponsiveSince = 0;
    directory.onRegistered(createInfo('a', 2), 5000, 5000);
    t.equal(sessions.at(-1), named);
    t.ok(named.isRegistered);
    t.notOk(named.info.isDraining);
    t.equal(named.info.capacity.accelerators, 8);
    t.ok(named.epochOffset > 0);
    directory.onUnregistered('a');
    t.notOk(named.isRegistered);
  },
);

t.test(
  'an incarnation that a record named and that answers first is polled, and used once it is registered',
  async t => {
    const {directory, sessions} = createDirectory();
    directory.onRegistered(createInfo('a', 1), 0, 0);
    const reference = {incarnation: 'a@2', address: 'a:1'};
    const named = directory.findOrCreateIncarnation(reference);
    directory.onOtherIncarnation(sessions[0]!, 2);
    t.equal(sessions.at(-1), named);
    t.notOk(named.isRegistered);
    directory.onRegistered(createInfo('a', 2), 5000, 5000);
    t.ok(named.isRegistered);
  },
);

// Guards against a target that no poll reaches any more, so that its runs lapse and its capacity is lost.
t.test(
  'an incarnation that a record names is polled once the registry lists it, although an older entry came first',
  async t => {
    const {directory, sessions} = createDirectory();
    const reference = {incarnation: 'a@2', address: 'a:1'};
    const named = directory.findOrCreateIncarnation(reference);
    directory.onRegistered(createInfo('a', 1), 0, 0);
    const former = sessions[0]!;
    former.unresponsiveSince = 0;
    directory.onRegistered(createInfo('a', 2), 5000, 5000);
    t.same(
      sessions.map(({key}) => key),
      ['a@1', 'a@2'],
    );
    t.equal(sessions[1], named);
    t.ok(named.isRegistered);
    t.equal(named.info.pool, 'p');
    t.ok(former.isRemoved);
  },
);

t.test('an older entry does not replace a newer incarnation', async t => {
  const {directory, sessions} = createDirectory();
  directory.onRegistered(createInfo('a', 2), 0, 0);
  sessions[0]!.hasListing = true;
  directory.onRegistered(createInfo('a', 1), 5000, 5000);
  t.same(
    sessions.map(({key}) => key),
    ['a@2'],
  );
  t.ok(sessions[0]!.isRegistered);
});

// Guards against a leader that resigns because a target which was away for long refuses its epoch.
t.test(
  'a target that was swept and comes back gets no lower epoch than before',
  async t => {
    const {directory, sessions} = createDirectory();
    directory.onRegistered(createInfo('a', 1), 0, 0);
    sessions[0]!.unresponsiveSince = 0;
    directory.onRegistered(createInfo('a', 2), 5000, 5000);
    const before = sessions.at(-1)!;
    directory.onUnregistered('a');
    directory.sweep(50_000, IDLE_TIMEOUT);
    t.ok(before.isRemoved);
    directory.onRegistered(createInfo('a', 2), 60_000, 60_000);
    t.equal(sessions.at(-1)!.epochOffset, before.epochOffset);
    directory.onUnregistered('a');
    directory.sweep(100_000, IDLE_TIMEOUT);
    directory.onRegistered(createInfo('a', 3), 110_000, 110_000);
    t.ok(sessions.at(-1)!.epochOffset > before.epochOffset);
  },
);

t.test('the id of a target may contain the separator', async t => {
  const {directory} = createDirectory();
  const reference = {incarnation: 'a@b@7', address: 'a:1'};
  const {info, key} = directory.findOrCreateIncarnation(reference);
  t.same([info.id, info.born, key], ['a@b', 7, 'a@b@7']);
});
