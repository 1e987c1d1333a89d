import type {Entity, RecordBody} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';
import t from 'tap';
import {
  configure,
  createEntities,
  createState,
  fold,
  place,
  submit,
} from './fixtures.js';

function find(id: string): Entity {
  return createEntities().find(value => value.id === id)!;
}

function remove(key: string, baseVersion: number, id = 'rm'): RecordBody {
  const edits = [{entity: key, baseVersion, value: null}];
  return {type: 'configured', change: {changeId: id, author: 'op', edits}};
}

t.test('of two changes of one version the first wins', async t => {
  const state = createState();
  const out = {...find('d1'), state: 'out'} as Entity;
  t.equal(fold(state, configure([out], 1)).accepted, true);
  const later = fold(state, configure([find('d1')], 1));
  t.match(later.problem, {
    code: 'config-conflict',
    details: {entity: 'domain/d1', currentVersion: 2},
  });
  t.equal(state.getDomain('d1')?.state, 'out');
});

t.test('a change takes effect whole or not at all', async t => {
  const state = createState();
  const {configuration} = state;
  const out = {...find('d1'), state: 'out'} as Entity;
  const unknown = {...find('t1'), domain: 'd9'} as Entity;
  const applied = fold(state, configure([out, unknown], 1));
  t.match(applied.problem?.message, /unknown failure domain d9/);
  t.equal(state.configuration, configuration);
  t.equal(state.getEntityVersion('domain/d1'), 1);
});

t.test('the same change again gets the same verdict', async t => {
  const state = createState();
  const change = configure([find('t1')], 1, 'once');
  fold(state, change);
  t.match(fold(state, change), {accepted: true, duplicate: true});
  fold(state, remove('target/t4', 1));
  const again = configure([find('t4')], 0, 'rm');
  t.match(fold(state, again), {accepted: true, duplicate: true});
  t.equal(state.getTarget('t4'), undefined);
  const stale = configure([find('t1')], 1, 'stale');
  const first = fold(state, stale);
  t.match(fold(state, stale).problem?.toJSON(), first.problem?.toJSON());
});

t.test('versions go on after a removal', async t => {
  const state = createState();
  fold(state, remove('target/t4', 1));
  t.equal(state.getEntityVersion('target/t4'), 2);
  t.equal(fold(state, configure([find('t4')], 0)).accepted, true);
  t.equal(state.getEntityVersion('target/t4'), 3);
});

t.test('what unfinished jobs use cannot be removed', async t => {
  const state = createState();
  fold(state, submit());
  fold(state, place());
  for (const key of ['target/t1', 'workspace/ws1']) {
    const {problem} = fold(state, remove(key, 1, key));
    t.match(problem?.message, /used by 1 unfinished job/);
  }
});

t.test('the injected check refuses a configuration', async t => {
  const shortfall = 'ws1 lacks 1 rack';
  const state = createState({
    validateConfiguration: ({targets}) =>
      targets.size < 4
        ? new Failure('guarantee-shortfall', {shortfall})
        : undefined,
  });
  const applied = fold(state, remove('target/t4', 1));
  t.equal(applied.rejection, 'guarantee-shortfall');
  t.ok(state.getTarget('t4'));
  t.match(state.listChanges(1), [{changeId: 'rm', accepted: false}]);
});

t.test('a take-out is never refused for a guarantee', async t => {
  const state = createState({
    validateConfiguration: ({targets}) =>
      targets.get('t4')?.state === 'out'
        ? new Failure('guarantee-shortfall', {shortfall: 'ws1 lacks 1 rack'})
        : undefined,
  });
  const out = {...find('t4'), state: 'out'} as Entity;
  t.equal(fold(state, configure([out], 1)).accepted, true);
});
