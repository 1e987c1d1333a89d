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
  const verdicts = values.map(value => fold(state, value));
  return {state, verdicts};
}

function createEmpty(): LedgerState {
  return new LedgerState(OPTIONS);
}

function hashOf(state: LedgerState): string {
  return encodeState(state, 'test').hash;
}

/** What callers, schedulers and operators see of a state. */
function viewOf(state: LedgerState): unknown {
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

t.test('a snapshot and the records after it give the folded state', async t => {
  fc.assert(
    fc.property(records, fc.nat(), (values, at) => {
      const cut = at % (values.length + 1);
      const {state: part} = foldAll(values.slice(0, cut));
      const restored = decodeState(encodeState(part, 's'), OPTIONS);
      const tail = values.slice(cut);
      const whole = foldAll(values);
      const {state, verdicts} = foldAll(tail, restored);
      t.equal(hashOf(state), hashOf(whole.state));
      const expected = whole.verdicts.slice(cut);
      if (JSON.stringify(verdicts) !== JSON.stringify(expected)) {
        throw new Error('other verdicts after the snapshot');
      }
    }),
    RUNS,
  );
});

t.test('a snapshot is of one offset while the fold goes on', async t => {
  await fc.assert(
    fc.asyncProperty(records, fc.nat(), async (values, at) => {
      const cut = at % (values.length + 1);
      const {state} = foldAll(values.slice(0, cut));
      const expected = hashOf(state);
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
      const before = viewOf(state);
      const {at, by} = values[later - 1]!;
      fold(state, {...values[copied]!, at, by});
      // A copy of a rejected record may take effect: it is the first that does.
      const {verdicts} = foldAll(values.slice(0, later));
      if (verdicts[copied]!.accepted) {
        t.strictSame(viewOf(state), before);
      }
    }),
    RUNS,
  );
});

t.test('no attempt is placed where none may be', async t => {
  fc.assert(
    fc.property(records, values => {
      const state = createEmpty();
      const ran = new Set<string>();
      for (const value of values) {
        const before = jobOf(state, value);
        const snapshot = before && {...before};
        const applied = fold(state, value);
        checkStep(applied, snapshot, ran);
        const after = jobOf(state, value);
        if (after?.mayHaveRun) {
          ran.add(after.jobId);
        }
      }
    }),
    RUNS,
  );

  function checkStep(
    {accepted, record, duplicate}: FoldResult,
    before: Job | undefined,
    ran: Set<string>,
  ) {
    if (!accepted || duplicate || !record) {
      return;
    }
    if (record.type === 'placed') {
      t.equal(before?.phase, 'queued', 'one attempt at a time');
      t.notOk(before?.cancelRequested, 'not after a cancellation');
      const mayRun = before?.request.repeatable || !ran.has(record.jobId);
      t.ok(mayRun, 'not repeatable: at most one attempt that may have run');
    }
    if (record.type === 'finished' && record.outcome === 'not-run') {
      t.notOk(ran.has(record.jobId), '"not run" is true');
    }
    if ('jobId' in record && record.type !== 'submitted') {
      t.not(before?.phase, 'finished', 'nothing follows the end of a job');
    }
  }
});

function jobOf(state: LedgerState, record: LogRecord): Job | undefined {
  return 'jobId' in record ? state.getJob(record.jobId) : undefined;
}

t.test('no entry stops the fold, whatever was written', async t => {
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

  /** Replaces one field somewhere in the entry, or the entry. */
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

t.test('a chunk that claims too many parts is refused', async t => {
  const chunk = {
    type: 'snapshot-chunk' as const,
    ...{snapshotId: 's', nextOffset: 0, index: 0, hash: '', data: ''},
    count: Number.MAX_SAFE_INTEGER,
  };
  t.equal(fold(createEmpty(), chunk).rejection, 'record-invalid');
});

t.test('versions never fall, and indexes agree with the jobs', async t => {
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
