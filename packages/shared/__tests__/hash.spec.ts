import t from 'tap';
import {chooseByRendezvous, hashValue} from '../src/index.js';

t.test('equal values have equal hashes in any order of their keys', async t => {
  t.equal(
    hashValue({a: 1, b: {c: 2, d: 3}}),
    hashValue({b: {d: 3, c: 2}, a: 1}),
  );
  t.not(hashValue({a: 1}), hashValue({a: 2}));
});

t.test(
  'rendezvous hashing moves only the keys of a member that left',
  async t => {
    const members = ['a', 'b', 'c', 'd'];
    for (let key = 0; key < 100; key++) {
      const before = chooseByRendezvous(`rack-${key}`, members);
      const after = chooseByRendezvous(
        `rack-${key}`,
        members.filter(member => member !== 'd'),
      );
      if (before !== 'd') {
        t.equal(after, before);
      }
    }
  },
);
