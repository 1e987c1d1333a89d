import t from 'tap';
import {DesiredStateStore, admit} from '@galenavalve/gateway';

const TERMS = {
  pool: 'p',
  priority: 1,
  maxAttempts: 2,
  stretch: 2,
  latencyMs: 100,
};

/** Creates a desired state with one public and one private queue, confirmed at 10 s. */
function createDesiredState(): DesiredStateStore {
  const desiredState = new DesiredStateStore();
  const queue = {name: 'q', host: 'h', isPublic: false, terms: TERMS};
  desiredState.apply({
    version: 7,
    queues: [
      {...queue, pathPrefix: '/p/'},
      {...queue, name: 'open', pathPrefix: '/open/', isPublic: true},
    ],
    workspaces: [{name: 'w', keys: ['k'], guaranteedAccelerators: 0}],
  });
  desiredState.onConfirmed(10_000);
  return desiredState;
}

const request = {host: 'h', path: '/p/1', key: 'k'};

t.test('a request is admitted by its queue and its key', t => {
  const desiredState = createDesiredState();
  t.match(admit(desiredState, request, 10_100), {
    kind: 'admitted',
    workspace: 'w',
  });
  const publicRequest = {host: 'H', path: '/open/1'};
  t.match(admit(desiredState, publicRequest, 10_100), {kind: 'admitted'});
  t.end();
});

t.test(
  'a request is denied if a recently confirmed configuration lacks its queue or key',
  t => {
    const desiredState = createDesiredState();
    const unknownQueueRequest = {...request, path: '/x/1'};
    t.equal(
      admit(desiredState, unknownQueueRequest, 11_000).kind,
      'unknown-queue',
    );
    t.equal(
      admit(desiredState, {...request, key: 'x'}, 11_000).kind,
      'unknown-key',
    );
    t.end();
  },
);

t.test(
  'no request is denied by a configuration that was not confirmed for seconds (menon-terrain-grown fresh-3d19)',
  t => {
    const desiredState = createDesiredState();
    const unknownQueueRequest = {...request, path: '/x/1'};
    const later = 14_000;
    t.match(admit(desiredState, unknownQueueRequest, later), {
      kind: 'refused',
      retryAfterSeconds: 1,
    });
    t.equal(admit(desiredState, {...request, key: 'x'}, later).kind, 'refused');
    t.equal(
      admit(desiredState, request, later).kind,
      'admitted',
      'a request for a known queue and key is still admitted',
    );
    t.end();
  },
);

t.test('no request is denied before a configuration has been read', t => {
  t.equal(admit(new DesiredStateStore(), request, 0).kind, 'refused');
  t.end();
});
