import t from 'tap';
import {createTarget} from './fixtures.js';

// Guards against a start that counts as unanswered, and a target that is contested, because the poll before was processed late.
t.test(
  'a response fits the clock although the response before it was processed late',
  async t => {
    for (const late of [200, 300, 450]) {
      const target = createTarget('a', 'r', 0);
      // The target's clock shows 50,000 at 0; the response to a poll that was sent
      // at 0 leaves the target at 1000 and is processed `late` after that.
      target.onResponse(51_000, 0, 1000 + late);
      const sentAt = 1500;
      t.ok(
        target.isOwnClock(50_000 + sentAt + 1, sentAt, sentAt + 2),
        `${late} ms late`,
      );
    }
  },
);
