/** The budget of the platform's log. */
import {figure, table} from './format.mjs';
import {RECORDS_PER_JOB, WHOLE, recordRates} from './model.mjs';
import {SECONDS_PER_DAY, derived, settings, target, today} from './sizes.mjs';

const MB = 1_000_000;

/** Tasks of a job today. */
const TASKS_TODAY = 8;

/** Failure domains of the region that returns. */
const RETURNING_DOMAINS = 4;

/** Time in which a returned region catches up, and in which a wave comes. */
const SURGE_SECONDS = 60;

/** Jobs that a wave cancels, and how many of them run. */
const CANCELLED_JOBS = 5000;
const CANCELLED_RUNNING = 1100;

/** Bytes of a `cancelled` record, as a record of a job without its tasks. */
const CANCELLED_BYTES = 350;

/** Appends a second in a normal hour, if nothing is batched. */
export function appendsPerSecond(slopes) {
  return normalHour(slopes).appends;
}

/** The table of the log's budget. */
export function logTable(slopes) {
  const rows = [
    ['today, 30 workers', todayHour(slopes)],
    ['two-year size, a normal hour', normalHour(slopes)],
    ['two-year size, the minute after a region returns', returnHour(slopes)],
    ['two-year size, a cancellation wave of a minute', wave(slopes)],
  ];
  return table(
    [
      'when',
      'calculation',
      'records a second',
      'appends a second',
      'bytes a second',
      'MB kept a day at that rate',
    ],
    rows.map(([when, {calculation, records, appends, bytes}]) => [
      when,
      calculation,
      figure(records),
      figure(appends),
      figure(bytes),
      figure((bytes * SECONDS_PER_DAY) / MB),
    ]),
  );
}

function todayHour(slopes) {
  const rates = recordRates(slopes, today, TASKS_TODAY);
  return {
    calculation: `${figure(today.jobsPerDay)} jobs of ${TASKS_TODAY} tasks and ${today.changesPerDay} changes a day (assumed); no snapshots counted`,
    records: rates.recordsPerSecond,
    appends: rates.recordsPerSecond,
    bytes: rates.bytesPerSecond,
  };
}

function normalHour(slopes) {
  const rates = recordRates(slopes, target, derived.tasksPerJob);
  const snapshot = slopes.at('snapshot-bytes', WHOLE);
  const {snapshotsPerDay, bytesPerAppend} = settings;
  const snapshotBytes = (snapshot * snapshotsPerDay) / SECONDS_PER_DAY;
  const snapshotAppends =
    (snapshotsPerDay * Math.ceil(snapshot / bytesPerAppend)) / SECONDS_PER_DAY;
  return {
    calculation: `(${figure(target.jobsPerDay)} jobs * ${RECORDS_PER_JOB} + ${figure(target.changesPerDay)} changes) / ${figure(SECONDS_PER_DAY)}, each in an append of its own, and ${snapshotsPerDay} snapshots a day`,
    records: rates.recordsPerSecond,
    appends: rates.recordsPerSecond + snapshotAppends,
    bytes: rates.bytesPerSecond + snapshotBytes,
  };
}

function returnHour(slopes) {
  const share = RETURNING_DOMAINS / target.domains;
  const jobs = (target.jobsPerDay / 24) * share;
  const jobBytes = slopes.at('record-job', derived.tasksPerJob);
  const normal = normalHour(slopes);
  const records = (jobs * RECORDS_PER_JOB) / SURGE_SECONDS;
  return {
    calculation: `the ${figure(jobs)} jobs of ${RETURNING_DOMAINS} domains that an hour of absence held back, all in ${SURGE_SECONDS} s, none batched`,
    records: normal.records + records,
    appends: normal.appends + records,
    bytes: normal.bytes + (jobs * jobBytes) / SURGE_SECONDS,
  };
}

function wave(slopes) {
  const ended = CANCELLED_JOBS + CANCELLED_RUNNING;
  const normal = normalHour(slopes);
  const {recordsPerAppend} = settings;
  const batches = Math.ceil(ended / recordsPerAppend);
  const finishedBytes =
    slopes.at('record-job', derived.tasksPerJob) / RECORDS_PER_JOB;
  const bytes =
    CANCELLED_JOBS * CANCELLED_BYTES + CANCELLED_RUNNING * finishedBytes;
  return {
    calculation: `${figure(CANCELLED_JOBS)} cancelled and ${figure(CANCELLED_RUNNING)} finished records in ${SURGE_SECONDS} s; by one instance ${batches} appends, here one append for each request as the most`,
    records: normal.records + ended / SURGE_SECONDS,
    appends: normal.appends + ended / SURGE_SECONDS,
    bytes: normal.bytes + bytes / SURGE_SECONDS,
  };
}
