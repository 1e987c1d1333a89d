/** Checks the promises against the runs on the targets and the responses to callers. */
import type {JobRequest, JobView} from '@galenavalve/model';
import type {JobDraft} from './entry_api.js';
import type {RunEvent} from './run_history.js';

/** Result of the check of one promise. */
export interface PromiseResult {
  promise: string;
  /** Number of checked requests, attempts or periods. */
  checked: number;
  violations: string[];
}

/** Period in which a failure domain was out of service, in wall-clock milliseconds. */
export interface OutOfServicePeriod {
  domain: string;
  from: number;
  until: number;
}

/** Input of the checks. */
export interface PromiseCheckInput {
  /** Submitted requests. */
  drafts: readonly JobDraft[];
  /** Jobs as last reported to callers, by request id. */
  finalJobs: ReadonlyMap<string, JobView>;
  /** Starts and ends on all targets, in the order of their time. */
  runs: readonly RunEvent[];
  outOfServicePeriods: readonly OutOfServicePeriod[];
}

/** Time after a take-out within which a task may still start; the promise allows "a few seconds". */
const TAKE_OUT_BOUND_MS = 3_000;

/** Longest time for which a gang may run in part while it starts or stops. */
const PARTIAL_RUN_BOUND_MS = 8_000;

/** Checks every promise that the demonstration can observe. */
export function checkPromises(input: PromiseCheckInput): PromiseResult[] {
  return [
    checkFinalOutcomes(input),
    checkResults(input),
    checkGangs(input),
    checkNotRepeatable(input),
    checkNotRun(input),
    checkOutOfService(input),
  ];
}

function checkFinalOutcomes({
  drafts,
  finalJobs,
}: PromiseCheckInput): PromiseResult {
  const violations = drafts
    .filter(({requestId}) => finalJobs.get(requestId)?.phase !== 'finished')
    .map(({requestId}) => `${requestId} has no final outcome`);
  return {
    promise: 'every caller learns what became of its request',
    checked: drafts.length,
    violations,
  };
}

function checkResults({drafts, finalJobs}: PromiseCheckInput): PromiseResult {
  const violations: string[] = [];
  let checked = 0;
  for (const draft of drafts) {
    const job = finalJobs.get(draft.requestId);
    if (job?.outcome !== 'succeeded') {
      continue;
    }
    checked++;
    const expected = Array(countTasks(draft)).fill(draft.payload['output']);
    if (JSON.stringify(job.results) !== JSON.stringify(expected)) {
      violations.push(`${draft.requestId} got other results than expected`);
    }
  }
  return {
    promise: 'every caller gets the whole answer to its own request',
    checked,
    violations,
  };
}

function checkGangs(input: PromiseCheckInput): PromiseResult {
  const violations: string[] = [];
  const attempts = groupByAttempt(input.runs);
  for (const [key, events] of attempts) {
    const partialMs = measureLongestPartialRunMs(events, input);
    if (partialMs > PARTIAL_RUN_BOUND_MS) {
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
  finalJobs,
  runs,
}: PromiseCheckInput): PromiseResult {
  const nonRepeatable = drafts.filter(draft => draft.repeatable === false);
  const violations = nonRepeatable.flatMap(({requestId}) => {
    const jobId = finalJobs.get(requestId)?.jobId;
    const attempts = new Set(
      runs
        .filter(run => run.jobId === jobId && run.kind === 'started')
        .map(run => run.attempt),
    );
    return attempts.size > 1 ? [`${requestId} ran ${attempts.size} times`] : [];
  });
  return {
    promise: 'a request that may not be repeated runs at most once',
    checked: nonRepeatable.length,
    violations,
  };
}

function checkNotRun({finalJobs, runs}: PromiseCheckInput): PromiseResult {
  const notRun = [...finalJobs.values()].filter(
    job => job.outcome === 'not-run',
  );
  const violations = notRun
    .filter(job => runs.some(run => run.jobId === job.jobId))
    .map(job => `${job.requestId} was reported as not run, but has run`);
  return {
    promise: '"not run" is true',
    checked: notRun.length,
    violations,
  };
}

function checkOutOfService({
  runs,
  outOfServicePeriods,
}: PromiseCheckInput): PromiseResult {
  const violations = outOfServicePeriods.flatMap(({domain, from, until}) =>
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
    checked: outOfServicePeriods.length,
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

/**
 * Returns how long some but not all tasks of an attempt had started, until all
 * had started or the first one ended.
 */
function measureLongestPartialRunMs(
  events: readonly RunEvent[],
  {drafts, finalJobs}: PromiseCheckInput,
): number {
  const first = events[0];
  const draft = drafts.find(
    ({requestId}) => finalJobs.get(requestId)?.jobId === first?.jobId,
  );
  if (!first || !draft) {
    return 0;
  }
  let startedTasks = 0;
  for (const event of events) {
    if (event.kind === 'ended') {
      break;
    }
    startedTasks += event.tasks;
    if (startedTasks === countTasks(draft)) {
      return event.at - first.at;
    }
  }
  const end = events.find(event => event.kind === 'ended');
  return (end?.at ?? Date.now()) - first.at;
}

function countTasks(draft: JobDraft): number {
  return (draft.gang as JobRequest['gang']).tasks;
}
