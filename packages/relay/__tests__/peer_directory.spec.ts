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

// Guards against calls to a peer that cannot be reached, by an entry of another writer (issue 33).
t.test('odd entries add no peer and leave the others as they are', async t => {
  const depth = 200_000;
  const deep = '['.repeat(depth) + ']'.repeat(depth);
  const directory = createPeerDirectory(createPeer('a'), [createPeer('b')]);
  const before = directory.listPeers();
  const format = (values: object) =>
    JSON.stringify({...createPeer('odd'), ...values});
  const values = [
    ...['null', '[]', '{}', '1e999', deep, '\uFFFD', format({port: 99_999})],
    ...[0, -1, 1.5, '80', 65_536].map(port => format({port})),
    ...['', 'x'.repeat(100_000), 7, ['127.0.0.1']].map(host => format({host})),
    ...[0, -1, 1e308, '1'].map(cores => format({cores})),
    format({cores: 7}).replace('"cores":7', '"cores":1e999'),
    format({cores: 7}).replace('"cores":7', `"cores":${deep}`),
    format({instance: 'b'}),
    format({domain: 'x'.repeat(100_000)}),
    format({writtenAt: '7'}),
  ];
  for (const key of ['p/odd', 'p/', 'p/b']) {
    for (const value of values.filter(
      text => key !== 'p/b' || !text.includes('"b"'),
    )) {
      directory.apply({key, value});
      t.same(directory.listPeers(), before, `${key} ${value.slice(0, 80)}`);
    }
  }
  const more = format({odd: 7}).replace('"odd":7', `"odd":${deep}`);
  directory.apply({key: 'p/odd', value: more});
  t.equal(directory.listPeers().length, 2);
  t.match(directory.candidateRank, {rank: 0, isWeak: false});
});
