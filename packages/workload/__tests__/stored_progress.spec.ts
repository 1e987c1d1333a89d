import fc from 'fast-check';
import t from 'tap';
import {
  type Progress,
  createOccurrence,
  formatProgress,
  parseProgress,
} from '@galenavalve/workload';

const targets = ['a@1', 'b@2', 'c@3'].map(incarnation => ({
  incarnation,
  address: `${incarnation}:80`,
}));

const crashEvidence = fc.record({
  member: fc.nat(20),
  count: fc.nat(3),
  total: fc.nat(5),
  minAge: fc.nat(10_000),
  maxAge: fc.nat(20_000),
  incarnations: fc.array(fc.constantFrom('a@1', 'b@2'), {maxLength: 3}),
});

const unit = fc.record(
  {
    run: fc.nat(1000),
    failureCount: fc.nat(5),
    lastFailedRun: fc.nat(1000),
    isDone: fc.boolean(),
    checkpoint: fc.string({maxLength: 16}),
    placedOn: fc.array(fc.constantFrom(...targets), {
      minLength: 1,
      maxLength: 4,
    }),
    crashes: fc.array(crashEvidence, {minLength: 1, maxLength: 3}),
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

t.test('parsing formatted progress returns the same progress', t => {
  fc.assert(
    fc.property(progress, original => {
      const stored = parseProgress(formatProgress(original));
      const parsed = {...stored.read(), endedAt: original.endedAt};
      t.same(parsed, {endedAt: undefined, ...original});
      t.equal(stored.outcome, original.outcome);
    }),
    {seed: 1, numRuns: 200},
  );
  t.end();
});

t.test(
  'the progress of a wide job takes less than 20 characters per task',
  t => {
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
    for (const [index, unitProgress] of occurrence.steps[0]!.entries()) {
      unitProgress.run = 1;
      unitProgress.isDone = index % 2 === 0;
      unitProgress.placedOn = unitProgress.isDone
        ? undefined
        : [
            {
              incarnation: `i-${index % 40}abcdef@1783141169063`,
              address: `10.3.64.${100 + (index % 40)}:8747`,
            },
          ];
    }
    const value = formatProgress({
      outcome: 'active',
      hasBegun: true,
      doneOccurrences: 0,
      occurrences: [occurrence],
    });
    t.ok(value.length < 138 * 20, `${value.length} characters`);
    t.end();
  },
);

t.test(
  'a malformed summary throws when it is parsed, and malformed details only when they are read',
  t => {
    const stored = parseProgress('{"outcome":"active","hasBegun":true}\n{');
    t.ok(stored.hasBegun);
    t.throws(() => stored.read());
    t.throws(() => parseProgress('nonsense'));
    t.end();
  },
);
