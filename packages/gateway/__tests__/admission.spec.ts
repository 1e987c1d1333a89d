import t from 'tap';
import {DesiredStateStore, admit} from '@galenavalve/gateway';

const TERMS = {
  pool: 'p',
  priority: 1,
  maxAttempts: 2,
  stretch: 2,
  latencyMs: 100,
};

/** A configuration with one public and one private queue, confirmed at 10 s. */
function createBook(): DesiredStateStore {
  const book = new DesiredStateStore();
  const queue = {name: 'q', host: 'h', isPublic: false, terms: TERMS};
  book.apply({
    version: 7,
    queues: [
      {...queue, pathPrefix: '/p/'},
      {...queue, name: 'open', pathPrefix: '/open/', isPublic: true},
    ],
    workspaces: [{name: 'w', keys: ['k'], guaranteedAccelerators: 0}],
  });
  book.onConfirmed(10_000);
  return book;
}

const known = {host: 'h', path: '/p/1', key: 'k'};

t.test('a call is admitted by the queue and the key that it names', t => {
  const book = createBook();
  t.match(admit(book, known, 10_100), {kind: 'admitted', workspace: 'w'});
  const open = {host: 'H', path: '/open/1'};
  t.match(admit(book, open, 10_100), {kind: 'admitted'});
  t.end();
});

t.test('what a configuration read just now does not name is denied', t => {
  const book = createBook();
  const other = {...known, path: '/x/1'};
  t.equal(admit(book, other, 11_000).kind, 'unknown-queue');
  t.equal(admit(book, {...known, key: 'x'}, 11_000).kind, 'unknown-key');
  t.end();
});

t.test(
  'nothing is denied by a configuration that was not confirmed for seconds (menon-terrain-grown fresh-3d19)',
  t => {
    const book = createBook();
    const other = {...known, path: '/x/1'};
    const later = 14_000;
    t.match(admit(book, other, later), {kind: 'refused', retryAfterSeconds: 1});
    t.equal(admit(book, {...known, key: 'x'}, later).kind, 'refused');
    t.equal(
      admit(book, known, later).kind,
      'admitted',
      'what it names goes on',
    );
    t.end();
  },
);

t.test('nothing is denied before a configuration was read', t => {
  t.equal(admit(new DesiredStateStore(), known, 0).kind, 'refused');
  t.end();
});
