/** Random sequences of records, most of which are valid in the state before them. */
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
const RECORD_KINDS = [
  ...['submit', 'submit', 'place', 'place', 'place', 'place', 'place'],
  ...['start', 'start', 'start', 'unplace', 'unplace', 'unplace', 'finish'],
  ...['cancel', 'claim', 'move', 'configure', 'withdraw'],
] as const;
const OUTCOMES = ['succeeded', 'failed', 'cancelled', 'not-run'] as const;
const ENTITY_KEYS = ['domain/d1', 'domain/d2', 'target/t1', 'target/t4'];

/** Random input from which one record is created. */
interface RecordSpec {
  kind: (typeof RECORD_KINDS)[number];
  jobId: string;
  flag: boolean;
  choice: number;
  /** Whether the record should conflict with the state. */
  isConflicting: boolean;
  /** Time since the record before. */
  minutes: number;
}

const recordSpec: fc.Arbitrary<RecordSpec> = fc.record({
  kind: fc.constantFrom(...RECORD_KINDS),
  jobId: fc.constantFrom('j1', 'j2', 'j3'),
  flag: fc.boolean(),
  choice: fc.nat(11),
  isConflicting: fc.nat(9).map(value => value === 0),
  minutes: fc.nat(60),
});

/** Records of two writers over some hours, after a configuration and a claim. */
export const records: fc.Arbitrary<LogRecord[]> = fc
  .array(recordSpec, {minLength: 30, maxLength: 90})
  .map(createRecords);

function createRecords(specs: readonly RecordSpec[]): LogRecord[] {
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
  for (const spec of specs) {
    at += spec.minutes * MINUTE_MS;
    add(createBody(state, spec, at), spec.flag ? 'i2' : 'i1');
  }
  return result;
}

function createBody(
  state: LedgerState,
  spec: RecordSpec,
  at: number,
): RecordBody {
  const {flag, choice, isConflicting} = spec;
  const jobId = selectJobId(state, spec);
  const currentTerm = state.getSchedulerTerm('d1') ?? TERM;
  const term =
    isConflicting && flag ? createTerm(currentTerm, choice) : currentTerm;
  const attempt = state.getJob(jobId)?.attempts ?? 0;
  const attemptNumber = Math.max(1, isConflicting ? choice % 3 : attempt);
  switch (spec.kind) {
    case 'submit':
      return submit(jobId, {
        repeatable: choice > 6,
        createdAt: isConflicting ? START_TIME_MS : at,
        ...(choice === 0 && {requestId: 'r-j1'}),
      });
    case 'place':
      return place(jobId, isConflicting ? attemptNumber : attempt + 1, term);
    case 'start':
      return start(jobId, attemptNumber, term);
    case 'unplace':
      return unplace(choice < 4, jobId, attemptNumber, term);
    case 'finish':
      return finish(
        OUTCOMES[choice % 4]!,
        jobId,
        isConflicting ? 0 : attempt,
        term,
      );
    case 'cancel':
      return cancel(jobId);
    case 'claim':
      return claim(createTerm(currentTerm, choice));
    case 'move':
      return createMove(state.getJob(jobId)?.domain ?? 'd2', jobId);
    case 'configure':
      return createChange(state, spec);
    case 'withdraw':
      return {
        type: 'withdrawn',
        requestId: `r-${isConflicting ? jobId : choice}`,
      };
  }
}

/** Selects mostly a job that has not ended, or a new id to submit. */
function selectJobId(state: LedgerState, spec: RecordSpec): string {
  const {kind, jobId, choice, isConflicting} = spec;
  if (isConflicting) {
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

function createTerm(currentTerm: Term, choice: number): Term {
  const instance = choice % 2 ? 'i1' : 'i2';
  return {log: currentTerm.log + (choice % 3 ? 1 : 0), outage: 0, instance};
}

function createMove(from: string, jobId: string): RecordBody {
  const to = from === 'd1' ? 'd2' : 'd1';
  const reason = {code: 'moved-capacity' as const, details: {}};
  return {type: 'moved', jobId, from, to, reason};
}

/** Creates a change that sets the state of an entity, mostly to "in-service", or removes it. */
function createChange(
  state: LedgerState,
  {choice, isConflicting}: RecordSpec,
): RecordBody {
  const key = ENTITY_KEYS[choice % 4]!;
  const baseVersion = isConflicting ? choice : state.getEntityVersion(key);
  const entity = createEntities().find(value => key.endsWith(`/${value.id}`));
  const serviceState = choice < 3 ? 'out' : 'in-service';
  const value = choice > 9 ? null : {...entity, state: serviceState};
  const edits = [{entity: key, baseVersion, value: value as never}];
  const changeId = `change-${isConflicting ? choice : state.nextOffset}`;
  return {type: 'configured', change: {changeId, author: 'op', edits}};
}
