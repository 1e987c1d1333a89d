import t from 'tap';
import {isTooDeep} from '../src/index.js';

/** Creates a value with `depth` levels of nesting; `depth` is even. */
function nest(depth: number): unknown {
  return JSON.parse('{"a":['.repeat(depth / 2) + ']}'.repeat(depth / 2));
}

t.test('nesting beyond the limit is detected at any depth', async t => {
  t.notOk(isTooDeep(nest(4), 4));
  t.ok(isTooDeep(nest(6), 4));
  t.ok(isTooDeep(nest(6000)));
  t.notOk(isTooDeep(null, 0));
  t.notOk(isTooDeep({a: [1, 'x', null]}, 2));
});
