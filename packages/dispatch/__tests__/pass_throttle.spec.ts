import t from 'tap';
import {PassThrottle} from '../src/pass_throttle.js';

/**
 * Simulates ten seconds in which a pass is always requested; returns the share
 * of time that passes take.
 */
function measurePassShare(passTime: number): number {
  const throttle = new PassThrottle();
  let passTimeTotal = 0;
  for (let now = 0; now < 10_000;) {
    now += throttle.computeDelay(now);
    throttle.onPass(now, now + passTime);
    now += passTime;
    passTimeTotal += passTime;
  }
  return passTimeTotal / 10_000;
}

t.test(
  'a request in an idle cluster runs a pass after the debounce delay',
  t => {
    t.equal(new PassThrottle().computeDelay(1000), 2);
    t.ok(new PassThrottle().isPassAllowed(1000));
    t.end();
  },
);

t.test(
  'passes leave most of the processor to listings, however long they take and however often they are requested (kwjt-grid-large scale-1, small)',
  t => {
    for (const passTime of [1, 10, 60, 400]) {
      t.ok(measurePassShare(passTime) <= 0.3, `${passTime} ms`);
    }
    t.end();
  },
);

t.test(
  'a tick without a request runs no pass before the throttle allows one',
  t => {
    const throttle = new PassThrottle();
    for (let now = 0; now < 2000; now += 100) {
      throttle.onPass(now, now + 60);
    }
    t.notOk(throttle.isPassAllowed(2000));
    t.ok(throttle.isPassAllowed(2300));
    t.end();
  },
);
