import t from 'tap';
import {type TargetInfo, TargetState} from '@galenavalve/dispatch';
import {TargetDirectory} from '../src/target_directory.js';
import {createTarget} from './fixtures.js';

/** Creates a directory that counts how often each incarnation was added. */
function createDirectory() {
  const added: string[] = [];
  const directory = new TargetDirectory(
    {
      onTargetAdded: target => added.push(target.key),
      onTargetReplaced: () => undefined,
    },
    10_000,
  );
  return {directory, added};
}

function createInfo(born: number): TargetInfo {
  return {...createTarget('t', 'r', 0).info, born};
}

function findTarget(
  directory: TargetDirectory,
  born: number,
): TargetState | undefined {
  return [...directory.listTargets()].find(({info}) => info.born === born);
}

// Guards against a target that no poll reaches any more, so that its runs lapse and its capacity is lost.
t.test(
  'an incarnation that a record names is polled once the registry lists it, although an older entry came first',
  async t => {
    const {directory, added} = createDirectory();
    const reference = {incarnation: 't@2000', address: 'a:1'};
    const named = directory.findOrCreateIncarnation(reference);
    directory.onRegistered(createInfo(1000), 0);
    directory.onRegistered(createInfo(2000), 10);
    t.same(added, ['t@1000', 't@2000']);
    t.equal(findTarget(directory, 2000), named);
    t.ok(named.isRegistered);
    t.equal(named.info.pool, 'p');
    t.notOk(findTarget(directory, 1000));
  },
);

t.test('an older entry does not replace a newer incarnation', async t => {
  const {directory, added} = createDirectory();
  directory.onRegistered(createInfo(2000), 0);
  directory.onRegistered(createInfo(1000), 10);
  t.same(added, ['t@2000']);
  t.ok(findTarget(directory, 2000)!.isRegistered);
});
