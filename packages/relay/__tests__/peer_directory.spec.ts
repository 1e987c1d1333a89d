import t from 'tap';
import {encodePeer} from '@galenavalve/relay';
import {createPeerDirectory, createPeer} from './fixtures.js';

t.test('the rank counts stronger instances and earlier names', async t => {
  const others = [
    createPeer('a', {cores: 0.5}),
    createPeer('b', {cores: 0.3}),
    createPeer('d', {cores: 0.3}),
    createPeer('e', {cores: 1.35}),
  ];
  const book = createPeerDirectory(createPeer('c', {cores: 0.3}), others);
  t.same(book.candidateRank, {rank: 3, isWeak: true});
  const strong = createPeerDirectory(createPeer('e', {cores: 1.35}), others);
  t.same(strong.candidateRank, {rank: 0, isWeak: false});
});

t.test('records of other writers and its own name no peer', async t => {
  const book = createPeerDirectory(createPeer('a'), []);
  book.apply({key: 'p/x', value: '{'});
  book.apply({key: 'p/x', value: '{"instance":"x","port":"many"}'});
  book.apply({key: 's/p/x', value: '{}'});
  book.apply(encodePeer(createPeer('a')));
  t.same(book.listPeers(), []);
});

t.test('an instance that is dropped is no peer any more', async t => {
  const book = createPeerDirectory(createPeer('a'), [createPeer('b')]);
  t.equal(book.listPeers().length, 1);
  book.apply({key: 'p/b', value: ''});
  t.same(book.listPeers(), []);
});
