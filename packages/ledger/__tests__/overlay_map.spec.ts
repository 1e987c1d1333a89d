import fc from 'fast-check';
import t from 'tap';
import {OverlayMap} from '../src/overlay_map.js';

t.test('an overlay map has the entries and order of a Map', async t => {
  const key = fc.nat(400).map(String);
  const change = fc.oneof(
    {weight: 9, arbitrary: fc.array(key, {maxLength: 60})},
    {weight: 1, arbitrary: key},
  );
  fc.assert(
    fc.property(fc.array(change, {maxLength: 40}), changes => {
      const expected = new Map<string, object>();
      let map = new OverlayMap<object>();
      changes.forEach((change, i) => {
        const before = [...map];
        const previous = map;
        if (typeof change === 'string') {
          expected.delete(change);
          map = map.without([change]);
        } else {
          change.forEach(k => expected.set(k, {i}));
          map = map.with(change.map(k => [k, {i}]));
        }
        t.strictSame(
          [...previous],
          before,
          'the previous copy does not change',
        );
      });
      t.strictSame([...map], [...expected]);
      t.equal(map.size, expected.size);
      t.equal(map.get('7') !== undefined, expected.has('7'));
    }),
    {seed: 1, numRuns: 60},
  );
});
