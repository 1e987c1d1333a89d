import {ManualClock, describeError, isFailure} from '@galenavalve/shared';
import fc from 'fast-check';
import t from 'tap';
import {type LogFaults, MemoryLog, encodeState} from '../src/index.js';
import {
  Instance,
  START_TIME_MS,
  configure,
  createEntities,
  createRecord,
  submit,
} from './fixtures.js';

const DEADLINE_MS = 2500;

/** What happens to the log in one step, and how long it lasts. */
interface Weather {
  faults: Partial<LogFaults>;
  duration: number;
  requests: number;
}

const weather: fc.Arbitrary<Weather> = fc.record({
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

type Answer = 'accepted' | 'not-written' | 'uncertain';

/** Submits jobs through two instances while the log misbehaves. */
async function runThrough(steps: readonly Weather[]) {
  const clock = new ManualClock(START_TIME_MS);
  const log = new MemoryLog(clock);
  log.write(createRecord(configure(createEntities())));
  const instances = ['i1', 'i22'].map(name => new Instance(clock, log, name));
  const answers = new Map<string, Answer>();
  const answered: Promise<void>[] = [];
  let count = 0;
  for (const {faults, duration, requests} of steps) {
    Object.assign(log.faults, faults);
    for (let i = 0; i < requests; i++) {
      count += 1;
      const requestId = `r${count}`;
      const answer = submitOne(instances[count % 2]!, requestId);
      answered.push(answer.then(value => void answers.set(requestId, value)));
    }
    await clock.advance(duration);
  }
  Object.assign(log.faults, new MemoryLog(clock).faults);
  await clock.advance(20_000);
  await Promise.all(answered);
  instances.forEach(instance => instance.stop());
  return {log, instances, answers};
}

async function submitOne(
  {writer, clock, state}: Instance,
  requestId: string,
): Promise<Answer> {
  const deadline = clock.now() + DEADLINE_MS;
  const body = submit(`job-${requestId}`, {requestId, createdAt: clock.now()});
  try {
    const {accepted} = await writer.append(body, {deadline});
    t.equal(accepted && !!state.getJobByRequest(requestId), true);
    return 'accepted';
  } catch (error) {
    t.ok(clock.now() < deadline + 1000, 'answered soon after the deadline');
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

t.test('through any faults of the log, each answer is true', async t => {
  const seen = {accepted: 0, 'not-written': 0, uncertain: 0};
  await fc.assert(
    fc.asyncProperty(
      fc.array(weather, {minLength: 3, maxLength: 12}),
      async steps => {
        const {log, instances, answers} = await runThrough(steps);
        for (const [requestId, answer] of answers) {
          seen[answer] += 1;
          const copies = countRecords(log, requestId);
          const isTrue =
            answer === 'not-written'
              ? copies === 0
              : answer === 'uncertain' || copies > 0;
          t.ok(isTrue, `${answer} with ${copies} records`);
        }
        const [one, two] = instances.map(({state}) => encodeState(state, 's'));
        t.equal(one!.hash, two!.hash, 'all instances have the same state');
      },
    ),
    {seed: 4, numRuns: 150},
  );
  t.ok(
    Object.values(seen).every(count => count > 20),
    JSON.stringify(seen),
  );
});
