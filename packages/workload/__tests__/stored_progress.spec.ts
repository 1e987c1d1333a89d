import fc from 'fast-check';
import t from 'tap';
import {
  type Progress,
  createOccurrence,
  formatProgress,
  parseProgress,
} from '@galenavalve/workload';

const unit = fc.record(
  {
    run: fc.nat(1000),
    failureCount: fc.nat(5),
    lastFailedRun: fc.nat(1000),
    isDone: fc.boolean(),
    checkpoint: fc.string({maxLength: 16}),
    placedOn: fc.array(fc.constantFrom('a@1', 'b@2', 'c@3'), {
      minLength: 1,
      maxLength: 4,
    }),
  },
  {
    requiredKeys: [
      'run',
      'failureCount',
      'lastFailedRun',
      'isDone',
      'checkpoint',
    ],
  },
);

const progress: fc.Arbitrary<Progress> = fc.record(
  {
    outcome: fc.constantFrom('active', 'complete', 'failed', 'cancelled'),
    hasBegun: fc.boolean(),
    doneOccurrences: fc.nat(9),
    occurrences: fc.array(
      fc.record({
        index: fc.nat(9),
        steps: fc.array(fc.array(unit, {maxLength: 5}), {maxLength: 3}),
      }),
      {maxLength: 3},
    ),
    endedAt: fc.nat(),
  },
  {
    requiredKeys: ['outcome', 'hasBegun', 'doneOccurrences', 'occurrences'],
  },
);

t.test('progress is read as it was written', t => {
  fc.assert(
    fc.property(progress, written => {
      const stored = parseProgress(formatProgress(written));
      const read = {...stored.read(), endedAt: written.endedAt};
      t.same(read, {endedAt: undefined, ...written});
      t.equal(stored.outcome, written.outcome);
    }),
    {seed: 1, numRuns: 200},
  );
  t.end();
});

t.test('a wide job takes a few bytes for each task', t => {
  const step = {
    count: 138,
    demand: {cpu: 1, memoryMb: 1, accelerators: 1},
    estimateMs: 1,
    dependsOn: [],
    isGang: false,
    isRackSensitive: false,
    savesProgress: false,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
  };
  const occurrence = createOccurrence({payload: '', steps: [step]}, 0);
  for (const [index, each] of occurrence.steps[0]!.entries()) {
    each.run = 1;
    each.isDone = index % 2 === 0;
    each.placedOn = each.isDone
      ? undefined
      : [`i-${index % 40}abcdef@1783141169063`];
  }
  const value = formatProgress({
    outcome: 'active',
    hasBegun: true,
    doneOccurrences: 0,
    occurrences: [occurrence],
  });
  t.ok(value.length < 138 * 20, `${value.length} characters`);
  t.end();
});

t.test('units of a record that another writer broke are not guessed', t => {
  const stored = parseProgress('{"outcome":"active","hasBegun":true}\n{');
  t.ok(stored.hasBegun);
  t.throws(() => stored.read());
  t.throws(() => parseProgress('nonsense'));
  t.end();
});
