import t from 'tap';
import {PassThrottle} from '../src/pass_throttle.js';

/** Plays news every two milliseconds for ten seconds; returns the share of time that passes took. */
function playNews(passTime: number): number {
  const schedule = new PassThrottle();
  let busy = 0;
  for (let now = 0; now < 10_000;) {
    now += schedule.computeDelay(now);
    schedule.onPass(now, now + passTime);
    now += passTime;
    busy += passTime;
  }
  return busy / 10_000;
}

t.test('news of a quiet installation is decided on at once', t => {
  t.equal(new PassThrottle().computeDelay(1000), 2);
  t.ok(new PassThrottle().isPassAllowed(1000));
  t.end();
});

t.test(
  'passes leave most of the processor to listings, however long they take and however much news there is (kwjt-grid-large scale-1, small)',
  t => {
    for (const passTime of [1, 10, 60, 400]) {
      t.ok(playNews(passTime) <= 0.3, `${passTime} ms`);
    }
    t.end();
  },
);

t.test('a tick that nothing asks for leaves out a pass that is not due', t => {
  const schedule = new PassThrottle();
  for (let now = 0; now < 2000; now += 100) {
    schedule.onPass(now, now + 60);
  }
  t.notOk(schedule.isPassAllowed(2000));
  t.ok(schedule.isPassAllowed(2300));
  t.end();
});
