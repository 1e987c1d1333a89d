import {ManualClock, describeError, isFailure} from '@galenavalve/shared';
import fc from 'fast-check';
import t from 'tap';
import {type LogFaults, MemoryLog, encodeState} from '../src/index.js';
import {
  TestInstance,
  START_TIME_MS,
  configure,
  createEntities,
  createRecord,
  submit,
} from './fixtures.js';

const DEADLINE_MS = 2500;

/**
 * Faults of the log during one phase, with its duration and the number of
 * requests submitted in it.
 */
interface FaultPhase {
  faults: Partial<LogFaults>;
  /** In milliseconds. */
  duration: number;
  requests: number;
}

const faultPhase: fc.Arbitrary<FaultPhase> = fc.record({
  faults: fc.oneof(
    fc.constant<Partial<LogFaults>>({outage: 'none'}),
    fc.constantFrom<Partial<LogFaults>>(
      {outage: 'refused'},
      {outage: 'silent'},
      {appendLatency: 700, readLatency: 300},
      {appendLatency: 1500},
    ),
    fc.record({lostAnswers: fc.nat(2), lateAppends: fc.nat(2)}),
    fc.record({lostAppends: fc.nat(2), lateBy: fc.nat(9000)}),
    fc.record({appendsPerSecond: fc.constantFrom(1, Infinity)}),
  ),
  duration: fc.integer({min: 50, max: 3000}),
  requests: fc.nat(3),
});

type AppendOutcome = 'accepted' | 'not-written' | 'uncertain';

/** Submits jobs through two instances while the log has faults. */
async function submitDuringFaults(phases: readonly FaultPhase[]) {
  const clock = new ManualClock(START_TIME_MS);
  const log = new MemoryLog(clock);
  log.write(createRecord(configure(createEntities())));
  const instances = ['i1', 'i22'].map(
    name => new TestInstance(clock, log, name),
  );
  const outcomes = new Map<string, AppendOutcome>();
  const settled: Promise<void>[] = [];
  let count = 0;
  for (const {faults, duration, requests} of phases) {
    Object.assign(log.faults, faults);
    for (let i = 0; i < requests; i++) {
      count += 1;
      const requestId = `r${count}`;
      const outcome = submitOne(instances[count % 2]!, requestId);
      settled.push(outcome.then(value => void outcomes.set(requestId, value)));
    }
    await clock.advance(duration);
  }
  Object.assign(log.faults, new MemoryLog(clock).faults);
  await clock.advance(20_000);
  await Promise.all(settled);
  instances.forEach(instance => instance.stop());
  return {log, instances, outcomes};
}

async function submitOne(
  {writer, clock, state}: TestInstance,
  requestId: string,
): Promise<AppendOutcome> {
  const deadline = clock.now() + DEADLINE_MS;
  const body = submit(`job-${requestId}`, {requestId, createdAt: clock.now()});
  try {
    const {accepted} = await writer.append(body, {deadline});
    t.equal(accepted && !!state.getJobByRequest(requestId), true);
    return 'accepted';
  } catch (error) {
    t.ok(
      clock.now() < deadline + 1000,
      'the append settles soon after the deadline',
    );
    if (isFailure(error, 'log-unavailable')) {
      return 'not-written';
    }
    t.ok(isFailure(error, 'append-uncertain'), describeError(error));
    return 'uncertain';
  }
}

function countRecords(log: MemoryLog, requestId: string): number {
  return log
    .entries()
    .filter(({value}) => JSON.stringify(value).includes(`"${requestId}"`))
    .length;
}

t.test('under random log faults, each append outcome is true', async t => {
  const counts = {accepted: 0, 'not-written': 0, uncertain: 0};
  await fc.assert(
    fc.asyncProperty(
      fc.array(faultPhase, {minLength: 3, maxLength: 12}),
      async phases => {
        const {log, instances, outcomes} = await submitDuringFaults(phases);
        for (const [requestId, outcome] of outcomes) {
          counts[outcome] += 1;
          const copies = countRecords(log, requestId);
          const isTrue =
            outcome === 'not-written'
              ? copies === 0
              : outcome === 'uncertain' || copies > 0;
          t.ok(isTrue, `${outcome} with ${copies} records`);
        }
        const [one, two] = instances.map(({state}) => encodeState(state, 's'));
        t.equal(one!.hash, two!.hash, 'all instances have the same state');
      },
    ),
    {seed: 4, numRuns: 150},
  );
  t.ok(
    Object.values(counts).every(count => count > 20),
    JSON.stringify(counts),
  );
});
