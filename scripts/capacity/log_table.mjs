/** Computes the load on the platform's log in several situations. */
import {formatFigure, formatTable} from './format.mjs';
import {RECORDS_PER_JOB, FULL_SHARE, computeRecordRates} from './model.mjs';
import {
  SECONDS_PER_DAY,
  derived,
  settings,
  twoYearSize,
  todaySize,
} from './sizes.mjs';

const BYTES_PER_MB = 1_000_000;

/** Number of tasks of a job at the present size. */
const TODAY_TASKS_PER_JOB = 8;

/** Number of failure domains of the region that returns. */
const RETURNING_DOMAINS = 4;

/** Time in which a returned region submits its delayed jobs, and duration of a cancellation wave. */
const SURGE_SECONDS = 60;

/** Number of jobs that a cancellation wave cancels, and how many of them run; a running job adds a `finished` record. */
const CANCELLED_JOBS = 5000;
const CANCELLED_RUNNING = 1100;

/** Size of a `cancelled` record, taken as that of a job record without its tasks. */
const CANCELLED_BYTES = 350;

/** Computes the appends per second of a normal hour at the two-year size, without batches. */
export function computeAppendsPerSecond(slopes) {
  return computeNormalLoad(slopes).appends;
}

/** Creates the table of the log load. */
export function createLogTable(slopes) {
  const rows = [
    ['today, 30 workers', computeTodayLoad(slopes)],
    ['two-year size, a normal hour', computeNormalLoad(slopes)],
    [
      'two-year size, the minute after a region returns',
      computeRegionReturnLoad(slopes),
    ],
    [
      'two-year size, a cancellation wave of a minute',
      computeCancellationLoad(slopes),
    ],
  ];
  return formatTable(
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
      formatFigure(records),
      formatFigure(appends),
      formatFigure(bytes),
      formatFigure((bytes * SECONDS_PER_DAY) / BYTES_PER_MB),
    ]),
  );
}

function computeTodayLoad(slopes) {
  const rates = computeRecordRates(slopes, todaySize, TODAY_TASKS_PER_JOB);
  return {
    calculation: `${formatFigure(todaySize.jobsPerDay)} jobs of ${TODAY_TASKS_PER_JOB} tasks and ${todaySize.changesPerDay} changes a day (assumed); no snapshots counted`,
    records: rates.recordsPerSecond,
    appends: rates.recordsPerSecond,
    bytes: rates.bytesPerSecond,
  };
}

function computeNormalLoad(slopes) {
  const rates = computeRecordRates(slopes, twoYearSize, derived.tasksPerJob);
  const snapshotSizeBytes = slopes.evaluate('snapshot-bytes', FULL_SHARE);
  const {snapshotsPerDay, bytesPerAppend} = settings;
  const snapshotBytes = (snapshotSizeBytes * snapshotsPerDay) / SECONDS_PER_DAY;
  const snapshotAppends =
    (snapshotsPerDay * Math.ceil(snapshotSizeBytes / bytesPerAppend)) /
    SECONDS_PER_DAY;
  return {
    calculation: `(${formatFigure(twoYearSize.jobsPerDay)} jobs * ${RECORDS_PER_JOB} + ${formatFigure(twoYearSize.changesPerDay)} changes) / ${formatFigure(SECONDS_PER_DAY)}, each in an append of its own, and ${snapshotsPerDay} snapshots a day`,
    records: rates.recordsPerSecond,
    appends: rates.recordsPerSecond + snapshotAppends,
    bytes: rates.bytesPerSecond + snapshotBytes,
  };
}

function computeRegionReturnLoad(slopes) {
  const domainShare = RETURNING_DOMAINS / twoYearSize.domains;
  const jobs = (twoYearSize.jobsPerDay / 24) * domainShare;
  const jobBytes = slopes.evaluate('record-job', derived.tasksPerJob);
  const normal = computeNormalLoad(slopes);
  const recordsPerSecond = (jobs * RECORDS_PER_JOB) / SURGE_SECONDS;
  return {
    calculation: `the ${formatFigure(jobs)} jobs of ${RETURNING_DOMAINS} domains that an hour of absence held back, all in ${SURGE_SECONDS} s, none batched`,
    records: normal.records + recordsPerSecond,
    appends: normal.appends + recordsPerSecond,
    bytes: normal.bytes + (jobs * jobBytes) / SURGE_SECONDS,
  };
}

function computeCancellationLoad(slopes) {
  const endingRecords = CANCELLED_JOBS + CANCELLED_RUNNING;
  const normal = computeNormalLoad(slopes);
  const {recordsPerAppend} = settings;
  const batches = Math.ceil(endingRecords / recordsPerAppend);
  const finishedBytes =
    slopes.evaluate('record-job', derived.tasksPerJob) / RECORDS_PER_JOB;
  const bytes =
    CANCELLED_JOBS * CANCELLED_BYTES + CANCELLED_RUNNING * finishedBytes;
  return {
    calculation: `${formatFigure(CANCELLED_JOBS)} cancelled and ${formatFigure(CANCELLED_RUNNING)} finished records in ${SURGE_SECONDS} s; by one instance ${batches} appends, here one append for each request as the most`,
    records: normal.records + endingRecords / SURGE_SECONDS,
    appends: normal.appends + endingRecords / SURGE_SECONDS,
    bytes: normal.bytes + bytes / SURGE_SECONDS,
  };
}
