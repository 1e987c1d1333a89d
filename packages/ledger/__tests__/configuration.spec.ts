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

function findEntity(id: string): Entity {
  return createEntities().find(value => value.id === id)!;
}

function createRemoval(
  key: string,
  baseVersion: number,
  id = 'rm',
): RecordBody {
  const edits = [{entity: key, baseVersion, value: null}];
  return {type: 'configured', change: {changeId: id, author: 'op', edits}};
}

t.test('the first of two changes with the same base version wins', async t => {
  const state = createState();
  const out = {...findEntity('d1'), state: 'out'} as Entity;
  t.equal(fold(state, configure([out], 1)).accepted, true);
  const later = fold(state, configure([findEntity('d1')], 1));
  t.match(later.problem, {
    code: 'config-conflict',
    details: {entity: 'domain/d1', currentVersion: 2},
  });
  t.equal(state.getDomain('d1')?.state, 'out');
});

t.test('a change takes effect as a whole or not at all', async t => {
  const state = createState();
  const {configuration} = state;
  const out = {...findEntity('d1'), state: 'out'} as Entity;
  const unknown = {...findEntity('t1'), domain: 'd9'} as Entity;
  const result = fold(state, configure([out, unknown], 1));
  t.match(result.problem?.message, /unknown failure domain d9/);
  t.equal(state.configuration, configuration);
  t.equal(state.getEntityVersion('domain/d1'), 1);
});

t.test('a repeated change gets the same outcome', async t => {
  const state = createState();
  const change = configure([findEntity('t1')], 1, 'once');
  fold(state, change);
  t.match(fold(state, change), {accepted: true, duplicate: true});
  fold(state, createRemoval('target/t4', 1));
  const again = configure([findEntity('t4')], 0, 'rm');
  t.match(fold(state, again), {accepted: true, duplicate: true});
  t.equal(state.getTarget('t4'), undefined);
  const stale = configure([findEntity('t1')], 1, 'stale');
  const first = fold(state, stale);
  t.match(fold(state, stale).problem?.toJSON(), first.problem?.toJSON());
});

t.test('versions continue after an entity is removed', async t => {
  const state = createState();
  fold(state, createRemoval('target/t4', 1));
  t.equal(state.getEntityVersion('target/t4'), 2);
  t.equal(fold(state, configure([findEntity('t4')], 0)).accepted, true);
  t.equal(state.getEntityVersion('target/t4'), 3);
});

t.test('an entity that unfinished jobs use cannot be removed', async t => {
  const state = createState();
  fold(state, submit());
  fold(state, place());
  for (const key of ['target/t1', 'workspace/ws1']) {
    const {problem} = fold(state, createRemoval(key, 1, key));
    t.match(problem?.message, /used by 1 unfinished job/);
  }
});

t.test('the injected validation rejects a configuration', async t => {
  const shortfall = 'ws1 lacks 1 rack';
  const state = createState({
    validateConfiguration: ({targets}) =>
      targets.size < 4
        ? new Failure('guarantee-shortfall', {shortfall})
        : undefined,
  });
  const result = fold(state, createRemoval('target/t4', 1));
  t.equal(result.rejection, 'guarantee-shortfall');
  t.ok(state.getTarget('t4'));
  t.match(state.listChanges(1), [{changeId: 'rm', accepted: false}]);
});

t.test('taking a target out is never rejected for a guarantee', async t => {
  const state = createState({
    validateConfiguration: ({targets}) =>
      targets.get('t4')?.state === 'out'
        ? new Failure('guarantee-shortfall', {shortfall: 'ws1 lacks 1 rack'})
        : undefined,
  });
  const out = {...findEntity('t4'), state: 'out'} as Entity;
  t.equal(fold(state, configure([out], 1)).accepted, true);
});
