/** Checks of the promises over what the targets ran and what callers were told. */
import type {JobRequest, JobView} from '@galenavalve/model';
import type {JobDraft} from './entry_api.js';
import type {RunEvent} from './run_history.js';

/** A promise with what was found against it. */
export interface PromiseResult {
  promise: string;
  checked: number;
  violations: string[];
}

/** A time in which a failure domain was out of service, in wall-clock milliseconds. */
export interface OutOfServicePeriod {
  domain: string;
  from: number;
  until: number;
}

/** What the checks look at. */
export interface PromiseCheckInput {
  drafts: readonly JobDraft[];
  /** What callers were told at last, by request id. */
  finalJobs: ReadonlyMap<string, JobView>;
  runs: readonly RunEvent[];
  outOfServicePeriods: readonly OutOfServicePeriod[];
}

/** Time after a take-out in which a start may still happen: "a few seconds". */
const TAKE_OUT_BOUND_MS = 3_000;

/** Longest time that a gang may run in part while it starts or stops. */
const PARTIAL_BOUND_MS = 8_000;

/** Checks every promise that the demonstration can see. */
export function checkPromises(evidence: PromiseCheckInput): PromiseResult[] {
  return [
    checkAnswers(evidence),
    checkWholeAnswers(evidence),
    checkGangs(evidence),
    checkNotRepeatable(evidence),
    checkNotRun(evidence),
    checkTakenOut(evidence),
  ];
}

function checkAnswers({
  drafts,
  finalJobs: answers,
}: PromiseCheckInput): PromiseResult {
  const violations = drafts
    .filter(({requestId}) => answers.get(requestId)?.phase !== 'finished')
    .map(({requestId}) => `${requestId} has no final answer`);
  return {
    promise: 'every caller learns what became of its request',
    checked: drafts.length,
    violations,
  };
}

function checkWholeAnswers({
  drafts,
  finalJobs: answers,
}: PromiseCheckInput): PromiseResult {
  const violations: string[] = [];
  let checked = 0;
  for (const draft of drafts) {
    const answer = answers.get(draft.requestId);
    if (answer?.outcome !== 'succeeded') {
      continue;
    }
    checked++;
    const expected = Array(tasksOf(draft)).fill(draft.payload['output']);
    if (JSON.stringify(answer.results) !== JSON.stringify(expected)) {
      violations.push(`${draft.requestId} got another answer`);
    }
  }
  return {
    promise: 'every caller gets the whole answer to its own request',
    checked,
    violations,
  };
}

function checkGangs(evidence: PromiseCheckInput): PromiseResult {
  const violations: string[] = [];
  const attempts = groupByAttempt(evidence.runs);
  for (const [key, events] of attempts) {
    const partialMs = longestPartialRun(events, evidence);
    if (partialMs > PARTIAL_BOUND_MS) {
      violations.push(`${key} ran in part for ${partialMs} ms`);
    }
  }
  return {
    promise: 'no gang runs in part',
    checked: attempts.size,
    violations,
  };
}

function checkNotRepeatable({
  drafts,
  finalJobs: answers,
  runs,
}: PromiseCheckInput): PromiseResult {
  const once = drafts.filter(draft => draft.repeatable === false);
  const violations = once.flatMap(({requestId}) => {
    const jobId = answers.get(requestId)?.jobId;
    const attempts = new Set(
      runs
        .filter(run => run.jobId === jobId && run.kind === 'started')
        .map(run => run.attempt),
    );
    return attempts.size > 1 ? [`${requestId} ran ${attempts.size} times`] : [];
  });
  return {
    promise: 'a request that may not be repeated runs at most once',
    checked: once.length,
    violations,
  };
}

function checkNotRun({
  finalJobs: answers,
  runs,
}: PromiseCheckInput): PromiseResult {
  const notRun = [...answers.values()].filter(
    answer => answer.outcome === 'not-run',
  );
  const violations = notRun
    .filter(answer => runs.some(run => run.jobId === answer.jobId))
    .map(answer => `${answer.requestId} ran all the same`);
  return {
    promise: '"not run" is true',
    checked: notRun.length,
    violations,
  };
}

function checkTakenOut({
  runs,
  outOfServicePeriods: outages,
}: PromiseCheckInput): PromiseResult {
  const violations = outages.flatMap(({domain, from, until}) =>
    runs
      .filter(
        run =>
          run.kind === 'started' &&
          run.target.startsWith(`${domain}-`) &&
          run.at > from + TAKE_OUT_BOUND_MS &&
          run.at < until,
      )
      .map(run => `${run.jobId} started on ${run.target}`),
  );
  return {
    promise: `no start in a domain ${TAKE_OUT_BOUND_MS / 1000} s after it was taken out`,
    checked: outages.length,
    violations,
  };
}

function groupByAttempt(runs: readonly RunEvent[]): Map<string, RunEvent[]> {
  const groups = new Map<string, RunEvent[]>();
  for (const run of runs) {
    const key = `${run.jobId}/${run.attempt}`;
    const group = groups.get(key) ?? [];
    group.push(run);
    groups.set(key, group);
  }
  return groups;
}

/** Longest time that some but not all tasks of an attempt had started, before the first end. */
function longestPartialRun(
  events: readonly RunEvent[],
  {drafts, finalJobs: answers}: PromiseCheckInput,
): number {
  const first = events[0];
  const draft = drafts.find(
    ({requestId}) => answers.get(requestId)?.jobId === first?.jobId,
  );
  if (!first || !draft) {
    return 0;
  }
  let started = 0;
  for (const event of events) {
    if (event.kind === 'ended') {
      break;
    }
    started += event.tasks;
    if (started === tasksOf(draft)) {
      return event.at - first.at;
    }
  }
  const end = events.find(event => event.kind === 'ended');
  return (end?.at ?? Date.now()) - first.at;
}

function tasksOf(draft: JobDraft): number {
  return (draft.gang as JobRequest['gang']).tasks;
}
