import type {LogRecord} from '@galenavalve/model';
import fc from 'fast-check';
import t from 'tap';
import {
  type FoldResult,
  type Job,
  LedgerState,
  applyEntry,
  decodeState,
  encodeState,
  encodeStateAsync,
} from '../src/index.js';
import {records} from './arbitraries.js';
import {fold} from './fixtures.js';

const RUNS = {seed: 20261204, numRuns: 400};
const OPTIONS = {requestWindow: 8 * 3_600_000, resultBytes: 40};

function foldAll(values: readonly LogRecord[], state = createEmpty()) {
  const results = values.map(value => fold(state, value));
  return {state, results};
}

function createEmpty(): LedgerState {
  return new LedgerState(OPTIONS);
}

function computeHash(state: LedgerState): string {
  return encodeState(state, 'test').hash;
}

/** Creates a comparable view of what callers, schedulers and operators see of a state. */
function createView(state: LedgerState): unknown {
  const unfinished = ['d1', 'd2'].flatMap(id => [
    ...state.listUnfinishedJobs(id),
  ]);
  const jobs = [...unfinished, ...state.listFinishedJobs()];
  jobs.sort((a, b) => (a.jobId < b.jobId ? -1 : 1));
  const {domains, targets} = state.configuration;
  const configuration = [...domains.values(), ...targets.values()];
  const term = state.getSchedulerTerm('d1');
  const sorted = configuration.map(value => JSON.stringify(value)).sort();
  return JSON.parse(JSON.stringify([jobs, sorted, term]));
}

t.test('a snapshot and the later records give the folded state', async t => {
  fc.assert(
    fc.property(records, fc.nat(), (values, at) => {
      const cut = at % (values.length + 1);
      const {state: partial} = foldAll(values.slice(0, cut));
      const restored = decodeState(encodeState(partial, 's'), OPTIONS);
      const newer = values.slice(cut);
      const full = foldAll(values);
      const {state, results} = foldAll(newer, restored);
      t.equal(computeHash(state), computeHash(full.state));
      const expected = full.results.slice(cut);
      if (JSON.stringify(results) !== JSON.stringify(expected)) {
        throw new Error('fold results after the snapshot differ');
      }
    }),
    RUNS,
  );
});

t.test('a snapshot has one offset while the fold continues', async t => {
  await fc.assert(
    fc.asyncProperty(records, fc.nat(), async (values, at) => {
      const cut = at % (values.length + 1);
      const {state} = foldAll(values.slice(0, cut));
      const expected = computeHash(state);
      const encoding = encodeStateAsync(state, 'test');
      foldAll(values.slice(cut), state);
      t.equal((await encoding).hash, expected);
    }),
    {...RUNS, numRuns: 100},
  );
});

t.test('a late copy of any record changes nothing', async t => {
  fc.assert(
    fc.property(records, fc.nat(), fc.nat(), (values, from, to) => {
      const copied = from % values.length;
      const later = copied + 1 + (to % (values.length - copied));
      const {state} = foldAll(values.slice(0, later));
      const before = createView(state);
      const {at, by} = values[later - 1]!;
      fold(state, {...values[copied]!, at, by});
      // A copy of a rejected record may take effect, as the first copy that does.
      const {results} = foldAll(values.slice(0, later));
      if (results[copied]!.accepted) {
        t.strictSame(createView(state), before);
      }
    }),
    RUNS,
  );
});

t.test('an attempt is placed only for a job that may run', async t => {
  fc.assert(
    fc.property(records, values => {
      const state = createEmpty();
      const startedIds = new Set<string>();
      for (const value of values) {
        const before = findJobOf(state, value);
        const copy = before && {...before};
        const result = fold(state, value);
        checkFoldResult(result, copy, startedIds);
        const after = findJobOf(state, value);
        if (after?.mayHaveRun) {
          startedIds.add(after.jobId);
        }
      }
    }),
    RUNS,
  );

  function checkFoldResult(
    {accepted, record, duplicate}: FoldResult,
    before: Job | undefined,
    startedIds: Set<string>,
  ) {
    if (!accepted || duplicate || !record) {
      return;
    }
    if (record.type === 'placed') {
      t.equal(
        before?.phase,
        'queued',
        'a job has at most one attempt at a time',
      );
      t.notOk(before?.cancelRequested, 'no attempt follows a cancellation');
      const mayRun =
        before?.request.repeatable || !startedIds.has(record.jobId);
      t.ok(
        mayRun,
        'a job that is not repeatable has at most one attempt that may have run',
      );
    }
    if (record.type === 'finished' && record.outcome === 'not-run') {
      t.notOk(
        startedIds.has(record.jobId),
        'no task of a "not run" job has run',
      );
    }
    if ('jobId' in record && record.type !== 'submitted') {
      t.not(
        before?.phase,
        'finished',
        'no record is accepted after the end of a job',
      );
    }
  }
});

function findJobOf(state: LedgerState, record: LogRecord): Job | undefined {
  return 'jobId' in record ? state.getJob(record.jobId) : undefined;
}

t.test('no log entry stops the fold, whatever its content', async t => {
  const damage = fc.record({
    at: fc.nat(),
    key: fc.nat(),
    value: fc.oneof(
      fc.jsonValue(),
      fc.constantFrom(-1, 2 ** 53 - 1, 1e300, '', '__proto__'),
    ),
  });
  fc.assert(
    fc.property(
      records,
      fc.array(damage, {minLength: 1}),
      (values, damages) => {
        const entries: unknown[] = structuredClone(values);
        for (const {at, key, value} of damages) {
          const index = at % entries.length;
          entries[index] = damageEntry(entries[index], key, value);
        }
        const state = createEmpty();
        entries.forEach((value, offset) => applyEntry(state, {offset, value}));
        t.equal(state.nextOffset, entries.length);
        t.ok(decodeState(encodeState(state, 'test'), OPTIONS));
      },
    ),
    RUNS,
  );

  /** Replaces one field at any depth of the entry, or the whole entry. */
  function damageEntry(entry: unknown, key: number, value: unknown): unknown {
    if (entry === null || typeof entry !== 'object') {
      return value;
    }
    const names = Object.keys(entry);
    const name = names[key % (names.length + 1)];
    if (name === undefined) {
      return value;
    }
    const inner = (entry as Record<string, unknown>)[name];
    const next = damageEntry(inner, Math.floor(key / 7), value);
    return {...entry, [name]: next};
  }
});

t.test('a snapshot chunk with too large a count is rejected', async t => {
  const chunk = {
    type: 'snapshot-chunk' as const,
    ...{snapshotId: 's', nextOffset: 0, index: 0, hash: '', data: ''},
    count: Number.MAX_SAFE_INTEGER,
  };
  t.equal(fold(createEmpty(), chunk).rejection, 'record-invalid');
});

t.test('versions never decrease, and indexes match the jobs', async t => {
  const keys = ['domain/d1', 'domain/d2', 'target/t1', 'target/t4'];
  fc.assert(
    fc.property(records, values => {
      const state = createEmpty();
      let versions = keys.map(() => 0);
      for (const value of values) {
        fold(state, value);
        const next = keys.map(key => state.getEntityVersion(key));
        t.ok(next.every((version, i) => version >= versions[i]!));
        versions = next;
      }
      const queued = ['d1', 'd2'].flatMap(id => [...state.listQueuedJobs(id)]);
      t.equal(queued.length, state.countQueuedJobs('ws1'));
      t.ok(queued.every(job => job.phase === 'queued'));
    }),
    RUNS,
  );
});
