import t from 'tap';
import {exceedsDepth} from '../src/index.js';

function nest(depth: number): unknown {
  return JSON.parse('{"a":['.repeat(depth / 2) + ']}'.repeat(depth / 2));
}

t.test('nesting is measured up to its limit, however deep it is', async t => {
  t.notOk(exceedsDepth(nest(4), 4));
  t.ok(exceedsDepth(nest(6), 4));
  t.ok(exceedsDepth(nest(6000)));
  t.notOk(exceedsDepth(null, 0));
  t.notOk(exceedsDepth({a: [1, 'x', null]}, 2));
});
