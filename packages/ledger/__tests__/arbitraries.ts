/** Random sequences of records, of which most fit the state before them. */
import type {LogRecord, RecordBody, Term} from '@galenavalve/model';
import fc from 'fast-check';
import {LedgerState} from '../src/index.js';
import {
  START_TIME_MS,
  TERM,
  cancel,
  claim,
  configure,
  createEntities,
  createRecord,
  finish,
  fold,
  place,
  start,
  submit,
  unplace,
} from './fixtures.js';

const MINUTE_MS = 60_000;
const KINDS = [
  ...['submit', 'submit', 'place', 'place', 'place', 'place', 'place'],
  ...['start', 'start', 'start', 'unplace', 'unplace', 'unplace', 'finish'],
  ...['cancel', 'claim', 'move', 'configure', 'withdraw'],
] as const;
const OUTCOMES = ['succeeded', 'failed', 'cancelled', 'not-run'] as const;
const KEYS = ['domain/d1', 'domain/d2', 'target/t1', 'target/t4'];

/** What one record is made of. */
interface Step {
  kind: (typeof KINDS)[number];
  jobId: string;
  flag: boolean;
  choice: number;
  /** Whether the record is to clash with the state. */
  isWrong: boolean;
  minutes: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...KINDS),
  jobId: fc.constantFrom('j1', 'j2', 'j3'),
  flag: fc.boolean(),
  choice: fc.nat(11),
  isWrong: fc.nat(9).map(value => value === 0),
  minutes: fc.nat(60),
});

/** Records of some hours by two writers, after an inventory, a claim and jobs. */
export const records: fc.Arbitrary<LogRecord[]> = fc
  .array(step, {minLength: 30, maxLength: 90})
  .map(createRecords);

function createRecords(steps: readonly Step[]): LogRecord[] {
  const state = new LedgerState();
  const result: LogRecord[] = [];
  let at = START_TIME_MS;
  const add = (body: RecordBody, by = 'i1') => {
    const record = createRecord(body, {at, by});
    result.push(record);
    fold(state, record);
  };
  add(configure(createEntities(), 0, 'initial'));
  add(claim());
  for (const next of steps) {
    at += next.minutes * MINUTE_MS;
    add(createBody(state, next, at), next.flag ? 'i2' : 'i1');
  }
  return result;
}

function createBody(state: LedgerState, step: Step, at: number): RecordBody {
  const {flag, choice, isWrong} = step;
  const jobId = chooseJob(state, step);
  const present = state.getSchedulerTerm('d1') ?? TERM;
  const term = isWrong && flag ? createTerm(present, choice) : present;
  const attempt = state.getJob(jobId)?.attempts ?? 0;
  const current = Math.max(1, isWrong ? choice % 3 : attempt);
  switch (step.kind) {
    case 'submit':
      return submit(jobId, {
        repeatable: choice > 6,
        createdAt: isWrong ? START_TIME_MS : at,
        ...(choice === 0 && {requestId: 'r-j1'}),
      });
    case 'place':
      return place(jobId, isWrong ? current : attempt + 1, term);
    case 'start':
      return start(jobId, current, term);
    case 'unplace':
      return unplace(choice < 4, jobId, current, term);
    case 'finish':
      return finish(OUTCOMES[choice % 4]!, jobId, isWrong ? 0 : attempt, term);
    case 'cancel':
      return cancel(jobId);
    case 'claim':
      return claim(createTerm(present, choice));
    case 'move':
      return move(state.getJob(jobId)?.domain ?? 'd2', jobId);
    case 'configure':
      return change(state, step);
    case 'withdraw':
      return {type: 'withdrawn', requestId: `r-${isWrong ? jobId : choice}`};
  }
}

/** Mostly a job that has not ended, or a new one to submit. */
function chooseJob(state: LedgerState, step: Step): string {
  const {kind, jobId, choice, isWrong} = step;
  if (isWrong) {
    return jobId;
  }
  if (kind === 'submit') {
    return `j${state.nextOffset}`;
  }
  const jobs = ['d1', 'd2'].flatMap(id => [...state.listUnfinishedJobs(id)]);
  const suitable = jobs.filter(job =>
    kind === 'start' || kind === 'unplace'
      ? job.phase !== 'queued'
      : kind !== 'place' || (job.phase === 'queued' && job.domain === 'd1'),
  );
  return suitable[choice % suitable.length]?.jobId ?? jobId;
}

function createTerm(present: Term, choice: number): Term {
  const instance = choice % 2 ? 'i1' : 'i2';
  return {log: present.log + (choice % 3 ? 1 : 0), outage: 0, instance};
}

function move(from: string, jobId: string): RecordBody {
  const to = from === 'd1' ? 'd2' : 'd1';
  const reason = {code: 'moved-capacity' as const, details: {}};
  return {type: 'moved', jobId, from, to, reason};
}

/** Sets an entity's state, mostly to "in-service", or removes it. */
function change(state: LedgerState, {choice, isWrong}: Step): RecordBody {
  const key = KEYS[choice % 4]!;
  const baseVersion = isWrong ? choice : state.getEntityVersion(key);
  const found = createEntities().find(value => key.endsWith(`/${value.id}`));
  const service = choice < 3 ? 'out' : 'in-service';
  const value = choice > 9 ? null : {...found, state: service};
  const edits = [{entity: key, baseVersion, value: value as never}];
  const changeId = `change-${isWrong ? choice : state.nextOffset}`;
  return {type: 'configured', change: {changeId, author: 'op', edits}};
}
