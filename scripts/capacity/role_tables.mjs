/** Creates the tables of the cost of each role of an instance at the two-year size. */
import {formatFigure, formatTable} from './format.mjs';
import {
  RECORDS_PER_JOB,
  FULL_SHARE,
  computeHeartbeatTraffic,
  computeRecordRates,
  computeRenewalCost,
  computeUrgentStart,
} from './model.mjs';
import {
  SECONDS_PER_DAY,
  assumptions,
  derived,
  settings,
  twoYearSize,
} from './sizes.mjs';

const HEADERS = ['what', 'calculation', 'figure'];
const BYTES_PER_KB = 1000;
const BYTES_PER_MB = 1_000_000;

/** Creates one table for each role, by the name of its markers. */
export function createRoleTables(slopes) {
  return {
    sizes: createSizeTable(),
    'role-entry': createEntryTable(slopes),
    'role-reader': createReaderTable(slopes),
    'role-snapshot': createSnapshotTable(slopes),
    'role-scheduler': createSchedulerTable(slopes),
    'role-keeper': createLeaseRenewalTable(slopes),
    'role-membership': createMembershipTable(slopes),
    'role-configuration': createConfigurationTable(slopes),
  };
}

function createSizeTable() {
  const {targetsPerDomain, leasesPerTarget, tasksPerJob, runningJobs} = derived;
  const {tasksPerAssignment, runHours, entriesPerDomain} = assumptions;
  return formatTable(HEADERS, [
    createRow(
      'targets of a domain',
      `${formatFigure(twoYearSize.workers)} / ${twoYearSize.domains}`,
      targetsPerDomain,
    ),
    createRow(
      'running jobs',
      `${formatFigure(twoYearSize.jobsPerDay)} a day * ${runHours} h / 24 h (run time assumed)`,
      runningJobs,
    ),
    createRow(
      'tasks of a job',
      `${formatFigure(twoYearSize.tasks)} / ${formatFigure(runningJobs)}`,
      tasksPerJob,
    ),
    createRow(
      'leases of a target',
      `${formatFigure(twoYearSize.tasks)} / ${tasksPerAssignment} (tasks of a gang on one target, assumed) / ${formatFigure(twoYearSize.workers)}`,
      leasesPerTarget,
    ),
    createRow(
      'entry instances',
      `${entriesPerDomain} a domain * ${twoYearSize.domains}`,
      derived.entries,
    ),
  ]);
}

function createEntryTable(slopes) {
  return formatTable(HEADERS, [
    createRow(
      'memory, MB',
      '`daemon-memory` as measured at the whole size',
      slopes.getMeasured('daemon-memory', FULL_SHARE),
    ),
    createRow(
      'memory at most, MB',
      '`daemon-memory-peak` as measured at the whole size',
      slopes.getMeasured('daemon-memory-peak', FULL_SHARE),
    ),
    createRow(
      'of it before any state, MB',
      'intercept of `daemon-memory`',
      slopes.get('daemon-memory').intercept,
    ),
    createRow(
      'processor at rest, % of a core',
      '`daemon-processor` as measured at the whole size',
      slopes.getMeasured('daemon-processor', FULL_SHARE),
    ),
    createRow(
      'requests a second of an instance',
      `(${formatFigure(twoYearSize.jobsPerDay)} + ${formatFigure(twoYearSize.changesPerDay)}) / ${formatFigure(SECONDS_PER_DAY)} / ${derived.entries}`,
      (twoYearSize.jobsPerDay + twoYearSize.changesPerDay) /
        SECONDS_PER_DAY /
        derived.entries,
    ),
  ]);
}

function createReaderTable(slopes) {
  const rates = computeRecordRates(slopes, twoYearSize, derived.tasksPerJob);
  const fold = slopes.get('fold-record').slope;
  const idleLogBytes = slopes.getMeasured('daemon-log-bytes', FULL_SHARE);
  const decode = slopes.evaluate('snapshot-decode', FULL_SHARE);
  const tailRecords = rates.recordsPerDay / settings.snapshotsPerDay;
  const perRecord = slopes.get('catch-up').slope;
  return formatTable(HEADERS, [
    createRow(
      'bytes a second while nothing happens',
      `\`daemon-log-bytes\`: a read every ${settings.logWaitSeconds} s`,
      idleLogBytes,
    ),
    createRow(
      'bytes a second of records',
      `(${formatFigure(twoYearSize.jobsPerDay)} jobs * ${formatFigure(rates.jobBytes)} + ${formatFigure(twoYearSize.changesPerDay)} changes * ${formatFigure(rates.changeBytes)}) / ${formatFigure(SECONDS_PER_DAY)}`,
      rates.bytesPerSecond,
    ),
    createRow(
      'processor to fold, % of a core',
      `${formatFigure(rates.recordsPerSecond)} records a second * ${formatFigure(fold)} ms / 10`,
      (rates.recordsPerSecond * fold) / 10,
    ),
    createRow(
      'state of a running job, KB',
      `${formatFigure(slopes.get('state-running-job').slope)} + ${formatFigure(derived.tasksPerJob / assumptions.tasksPerAssignment)} parts * ${formatFigure(slopes.get('state-running-part').slope)} bytes`,
      (slopes.get('state-running-job').slope +
        (derived.tasksPerJob / assumptions.tasksPerAssignment) *
          slopes.get('state-running-part').slope) /
        BYTES_PER_KB,
    ),
    createRow(
      'time of a replaced instance to be fresh, ms',
      `${formatFigure(decode)} to restore a snapshot + ${formatFigure(tailRecords)} records since * ${formatFigure(perRecord)}`,
      decode + tailRecords * perRecord,
    ),
    createRow(
      'its reading, MB',
      `${formatFigure(slopes.evaluate('snapshot-bytes', FULL_SHARE) / BYTES_PER_MB)} of snapshot + ${formatFigure(tailRecords)} records`,
      (slopes.evaluate('snapshot-bytes', FULL_SHARE) +
        (rates.bytesPerSecond * SECONDS_PER_DAY) / settings.snapshotsPerDay) /
        BYTES_PER_MB,
    ),
  ]);
}

function createSnapshotTable(slopes) {
  const bytes = slopes.evaluate('snapshot-bytes', FULL_SHARE);
  const encode = slopes.evaluate('snapshot-encode', FULL_SHARE);
  const {snapshotsPerDay, bytesPerAppend} = settings;
  return formatTable(HEADERS, [
    createRow(
      'bytes of a snapshot, MB',
      '`snapshot-bytes` at 1',
      bytes / BYTES_PER_MB,
    ),
    createRow('processor a snapshot, ms', '`snapshot-encode` at 1', encode),
    createRow(
      'processor, % of a core',
      `${formatFigure(encode)} ms * ${snapshotsPerDay} / ${formatFigure(SECONDS_PER_DAY)} s / 10`,
      (encode * snapshotsPerDay) / SECONDS_PER_DAY / 10,
    ),
    createRow(
      'log bytes a day, MB',
      `${formatFigure(bytes / BYTES_PER_MB)} * ${snapshotsPerDay}`,
      (bytes * snapshotsPerDay) / BYTES_PER_MB,
    ),
    createRow(
      'appends a day',
      `${snapshotsPerDay} * ${formatFigure(bytes)} / ${formatFigure(bytesPerAppend)}, rounded up`,
      snapshotsPerDay * Math.ceil(bytes / bytesPerAppend),
    ),
  ]);
}

function createSchedulerTable(slopes) {
  const urgent = computeUrgentStart(slopes);
  const jobsPerSecond =
    twoYearSize.jobsPerDay / twoYearSize.domains / SECONDS_PER_DAY;
  const targetsPerJob = derived.tasksPerJob / assumptions.tasksPerAssignment;
  const startMs = slopes.evaluate('gang-start-time', targetsPerJob);
  return formatTable(HEADERS, [
    createRow(
      'a pass with one urgent job, ms',
      `\`decide-urgent\` at ${formatFigure(derived.targetsPerDomain)} targets`,
      urgent.decide,
    ),
    createRow(
      `a pass over ${assumptions.waitingJobs} waiting jobs, ms`,
      `\`decide-queue\` at ${assumptions.waitingJobs}`,
      urgent.queue,
    ),
    createRow(
      'start of the largest gang, ms',
      `\`gang-start\` at ${twoYearSize.largestGang} / ${assumptions.tasksPerAssignment} = ${urgent.targets} targets`,
      urgent.start,
    ),
    createRow(
      'processor, % of a core',
      `${formatFigure(jobsPerSecond)} jobs a second * (${formatFigure(urgent.queue)} + ${formatFigure(startMs)}) ms / 10`,
      (jobsPerSecond * (urgent.queue + startMs)) / 10,
    ),
    createRow(
      'records a day',
      `${formatFigure(twoYearSize.jobsPerDay / twoYearSize.domains)} jobs * ${RECORDS_PER_JOB - 1} (placed, started, finished)`,
      (twoYearSize.jobsPerDay / twoYearSize.domains) * (RECORDS_PER_JOB - 1),
    ),
  ]);
}

function createLeaseRenewalTable(slopes) {
  const leases = derived.leasesPerTarget;
  const cost = computeRenewalCost(slopes, leases);
  const {renewSeconds} = settings;
  const renewalsPerSecond = derived.targetsPerDomain / renewSeconds;
  return formatTable(HEADERS, [
    createRow(
      'bytes a renewal',
      `${formatFigure(cost.sent)} to the target + ${formatFigure(cost.received)} back + ${formatFigure(cost.usage)} usage, at ${formatFigure(leases)} leases`,
      cost.full,
    ),
    createRow(
      'bytes a second of a target',
      `${formatFigure(cost.full)} / ${renewSeconds} s`,
      cost.full / renewSeconds,
    ),
    createRow(
      'KB a second of a domain, one keeper',
      `${formatFigure(derived.targetsPerDomain)} targets * ${formatFigure(cost.full)} / ${renewSeconds} s`,
      (renewalsPerSecond * cost.full) / BYTES_PER_KB,
    ),
    createRow(
      'processor of a domain, % of a core',
      `${formatFigure(renewalsPerSecond)} renewals a second * ${formatFigure(cost.busyMs)} ms / 10`,
      (renewalsPerSecond * cost.busyMs) / 10,
    ),
  ]);
}

function createMembershipTable(slopes) {
  const {entriesPerDomain} = assumptions;
  const cost = computeHeartbeatTraffic(slopes, entriesPerDomain);
  const {heartbeatSeconds, remoteHeartbeatRatio} = settings;
  const heartbeatTime = slopes.get('beat-time');
  const linkCount =
    entriesPerDomain - 1 + cost.remoteLinks / remoteHeartbeatRatio;
  const bytesPerRecord = slopes.get('relay-bytes').slope;
  const rates = computeRecordRates(slopes, twoYearSize, derived.tasksPerJob);
  return formatTable(HEADERS, [
    createRow(
      'bytes a second within the domain',
      `${entriesPerDomain - 1} peers * ${formatFigure(cost.bytes)} / ${heartbeatSeconds} s`,
      cost.ownDomain,
    ),
    createRow(
      'bytes a second to other domains',
      `(${twoYearSize.domains - 1} own links + ${twoYearSize.domains - 1} of others) * ${formatFigure(cost.bytes)} / ${heartbeatSeconds * remoteHeartbeatRatio} s`,
      cost.otherDomains,
    ),
    createRow(
      'processor, % of a core',
      `(${formatFigure(heartbeatTime.intercept)} + ${formatFigure(linkCount)} * ${formatFigure(heartbeatTime.slope)}) ms / ${heartbeatSeconds} s / 10`,
      (heartbeatTime.intercept + linkCount * heartbeatTime.slope) /
        heartbeatSeconds /
        10,
    ),
    createRow(
      'bytes a second of an instance that lives by the relay',
      `${formatFigure(rates.recordsPerSecond)} records a second * ${formatFigure(bytesPerRecord)}`,
      rates.recordsPerSecond * bytesPerRecord,
    ),
  ]);
}

function createConfigurationTable(slopes) {
  const changesPerDay = twoYearSize.changesPerDay;
  const fold = slopes.evaluate('fold-change', twoYearSize.workers);
  const spread = slopes.get('change-spread').intercept;
  return formatTable(HEADERS, [
    createRow(
      'processor to fold, ms a day',
      `${formatFigure(changesPerDay)} changes * ${formatFigure(fold)}`,
      changesPerDay * fold,
    ),
    createRow(
      'from the append to every fold, ms',
      'intercept of `change-spread`: the rest of that slope is the followers sharing one process',
      spread,
    ),
    createRow(
      'state, MB',
      `${formatFigure(twoYearSize.workers)} targets * ${formatFigure(slopes.get('state-target').slope)} + ${twoYearSize.workspaces} workspaces * ${formatFigure(slopes.get('state-workspace').slope)} bytes`,
      (twoYearSize.workers * slopes.get('state-target').slope +
        twoYearSize.workspaces * slopes.get('state-workspace').slope) /
        BYTES_PER_MB,
    ),
  ]);
}

function createRow(what, calculation, value) {
  return [what, calculation, formatFigure(value)];
}
