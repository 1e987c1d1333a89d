import t from 'tap';
import {fitLine} from '../src/slopes/fit.js';

t.test('fitLine', async t => {
  t.test('fits points on a line exactly', async t => {
    const points = [1, 2, 5, 9].map(x => ({x, y: 7 + 3 * x}));
    t.match(fitLine(points), {slope: 3, intercept: 7, residual: 0});
  });

  t.test('reports the largest distance of a point as the residual', async t => {
    const points = [
      {x: 0, y: 0},
      {x: 1, y: 10},
      {x: 2, y: 0},
      {x: 3, y: 10},
    ];
    const {slope, intercept, residual} = fitLine(points);
    t.equal(slope, 2);
    t.equal(intercept, 2);
    t.equal(residual, 0.6);
  });
});
