import t from 'tap';
import {encodePeer} from '@galenavalve/relay';
import {createPeerDirectory, createPeer} from './fixtures.js';

t.test(
  'the candidate rank counts stronger instances, and equally strong ones with a lower name',
  async t => {
    const others = [
      createPeer('a', {cores: 0.5}),
      createPeer('b', {cores: 0.3}),
      createPeer('d', {cores: 0.3}),
      createPeer('e', {cores: 1.35}),
    ];
    const directory = createPeerDirectory(
      createPeer('c', {cores: 0.3}),
      others,
    );
    t.same(directory.candidateRank, {rank: 3, isWeak: true});
    const strongestDirectory = createPeerDirectory(
      createPeer('e', {cores: 1.35}),
      others,
    );
    t.same(strongestDirectory.candidateRank, {rank: 0, isWeak: false});
  },
);

t.test(
  'malformed records, other kinds of records and the own entry add no peer',
  async t => {
    const directory = createPeerDirectory(createPeer('a'), []);
    directory.apply({key: 'p/x', value: '{'});
    directory.apply({key: 'p/x', value: '{"instance":"x","port":"many"}'});
    directory.apply({key: 's/p/x', value: '{}'});
    directory.apply(encodePeer(createPeer('a')));
    t.same(directory.listPeers(), []);
  },
);

t.test('a tombstone removes a peer', async t => {
  const directory = createPeerDirectory(createPeer('a'), [createPeer('b')]);
  t.equal(directory.listPeers().length, 1);
  directory.apply({key: 'p/b', value: ''});
  t.same(directory.listPeers(), []);
});
