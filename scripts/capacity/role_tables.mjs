/** What each role costs at the two-year size. */
import {figure, table} from './format.mjs';
import {
  RECORDS_PER_JOB,
  WHOLE,
  beats,
  recordRates,
  renewal,
  urgentStart,
} from './model.mjs';
import {SECONDS_PER_DAY, assumed, derived, settings, target} from './sizes.mjs';

const HEADS = ['what', 'calculation', 'figure'];
const KB = 1000;
const MB = 1_000_000;

/** One table a role. */
export function roleTables(slopes) {
  return {
    sizes: sizeTable(),
    'role-entry': entryTable(slopes),
    'role-reader': readerTable(slopes),
    'role-snapshot': snapshotTable(slopes),
    'role-scheduler': schedulerTable(slopes),
    'role-keeper': keeperTable(slopes),
    'role-membership': membershipTable(slopes),
    'role-configuration': configurationTable(slopes),
  };
}

function sizeTable() {
  const {targetsPerDomain, leasesPerTarget, tasksPerJob, runningJobs} = derived;
  const {tasksPerPart, runHours, entriesPerDomain} = assumed;
  return table(HEADS, [
    row(
      'targets of a domain',
      `${figure(target.workers)} / ${target.domains}`,
      targetsPerDomain,
    ),
    row(
      'running jobs',
      `${figure(target.jobsPerDay)} a day * ${runHours} h / 24 h (run time assumed)`,
      runningJobs,
    ),
    row(
      'tasks of a job',
      `${figure(target.tasks)} / ${figure(runningJobs)}`,
      tasksPerJob,
    ),
    row(
      'leases of a target',
      `${figure(target.tasks)} / ${tasksPerPart} (tasks of a gang on one target, assumed) / ${figure(target.workers)}`,
      leasesPerTarget,
    ),
    row(
      'entry instances',
      `${entriesPerDomain} a domain * ${target.domains}`,
      derived.entries,
    ),
  ]);
}

function entryTable(slopes) {
  return table(HEADS, [
    row(
      'memory, MB',
      '`daemon-memory` as measured at the whole size',
      slopes.measured('daemon-memory', WHOLE),
    ),
    row(
      'memory at most, MB',
      '`daemon-memory-peak` as measured at the whole size',
      slopes.measured('daemon-memory-peak', WHOLE),
    ),
    row(
      'of it before any state, MB',
      'intercept of `daemon-memory`',
      slopes.get('daemon-memory').intercept,
    ),
    row(
      'processor at rest, % of a core',
      '`daemon-processor` as measured at the whole size',
      slopes.measured('daemon-processor', WHOLE),
    ),
    row(
      'requests a second of an instance',
      `(${figure(target.jobsPerDay)} + ${figure(target.changesPerDay)}) / ${figure(SECONDS_PER_DAY)} / ${derived.entries}`,
      (target.jobsPerDay + target.changesPerDay) /
        SECONDS_PER_DAY /
        derived.entries,
    ),
  ]);
}

function readerTable(slopes) {
  const rates = recordRates(slopes, target, derived.tasksPerJob);
  const fold = slopes.get('fold-record').slope;
  const log = slopes.measured('daemon-log-bytes', WHOLE);
  const decode = slopes.at('snapshot-decode', WHOLE);
  const tail = rates.recordsPerDay / settings.snapshotsPerDay;
  const perRecord = slopes.get('catch-up').slope;
  return table(HEADS, [
    row(
      'bytes a second while nothing happens',
      `\`daemon-log-bytes\`: a read every ${settings.logWaitSeconds} s`,
      log,
    ),
    row(
      'bytes a second of records',
      `(${figure(target.jobsPerDay)} jobs * ${figure(rates.jobBytes)} + ${figure(target.changesPerDay)} changes * ${figure(rates.changeBytes)}) / ${figure(SECONDS_PER_DAY)}`,
      rates.bytesPerSecond,
    ),
    row(
      'processor to fold, % of a core',
      `${figure(rates.recordsPerSecond)} records a second * ${figure(fold)} ms / 10`,
      (rates.recordsPerSecond * fold) / 10,
    ),
    row(
      'state of a running job, KB',
      `${figure(slopes.get('state-running-job').slope)} + ${figure(derived.tasksPerJob / assumed.tasksPerPart)} parts * ${figure(slopes.get('state-running-part').slope)} bytes`,
      (slopes.get('state-running-job').slope +
        (derived.tasksPerJob / assumed.tasksPerPart) *
          slopes.get('state-running-part').slope) /
        KB,
    ),
    row(
      'time of a replaced instance to be fresh, ms',
      `${figure(decode)} to restore a snapshot + ${figure(tail)} records since * ${figure(perRecord)}`,
      decode + tail * perRecord,
    ),
    row(
      'its reading, MB',
      `${figure(slopes.at('snapshot-bytes', WHOLE) / MB)} of snapshot + ${figure(tail)} records`,
      (slopes.at('snapshot-bytes', WHOLE) +
        (rates.bytesPerSecond * SECONDS_PER_DAY) / settings.snapshotsPerDay) /
        MB,
    ),
  ]);
}

function snapshotTable(slopes) {
  const bytes = slopes.at('snapshot-bytes', WHOLE);
  const encode = slopes.at('snapshot-encode', WHOLE);
  const {snapshotsPerDay, bytesPerAppend} = settings;
  return table(HEADS, [
    row('bytes of a snapshot, MB', '`snapshot-bytes` at 1', bytes / MB),
    row('processor a snapshot, ms', '`snapshot-encode` at 1', encode),
    row(
      'processor, % of a core',
      `${figure(encode)} ms * ${snapshotsPerDay} / ${figure(SECONDS_PER_DAY)} s / 10`,
      (encode * snapshotsPerDay) / SECONDS_PER_DAY / 10,
    ),
    row(
      'log bytes a day, MB',
      `${figure(bytes / MB)} * ${snapshotsPerDay}`,
      (bytes * snapshotsPerDay) / MB,
    ),
    row(
      'appends a day',
      `${snapshotsPerDay} * ${figure(bytes)} / ${figure(bytesPerAppend)}, rounded up`,
      snapshotsPerDay * Math.ceil(bytes / bytesPerAppend),
    ),
  ]);
}

function schedulerTable(slopes) {
  const urgent = urgentStart(slopes);
  const jobs = target.jobsPerDay / target.domains / SECONDS_PER_DAY;
  const parts = derived.tasksPerJob / assumed.tasksPerPart;
  const startMs = slopes.at('gang-start-time', parts);
  return table(HEADS, [
    row(
      'a pass with one urgent job, ms',
      `\`decide-urgent\` at ${figure(derived.targetsPerDomain)} targets`,
      urgent.decide,
    ),
    row(
      `a pass over ${assumed.waitingJobs} waiting jobs, ms`,
      `\`decide-queue\` at ${assumed.waitingJobs}`,
      urgent.queue,
    ),
    row(
      'start of the largest gang, ms',
      `\`gang-start\` at ${target.largestGang} / ${assumed.tasksPerPart} = ${urgent.parts} targets`,
      urgent.start,
    ),
    row(
      'processor, % of a core',
      `${figure(jobs)} jobs a second * (${figure(urgent.queue)} + ${figure(startMs)}) ms / 10`,
      (jobs * (urgent.queue + startMs)) / 10,
    ),
    row(
      'records a day',
      `${figure(target.jobsPerDay / target.domains)} jobs * ${RECORDS_PER_JOB - 1} (placed, started, finished)`,
      (target.jobsPerDay / target.domains) * (RECORDS_PER_JOB - 1),
    ),
  ]);
}

function keeperTable(slopes) {
  const leases = derived.leasesPerTarget;
  const cost = renewal(slopes, leases);
  const {renewSeconds} = settings;
  const rate = derived.targetsPerDomain / renewSeconds;
  return table(HEADS, [
    row(
      'bytes a renewal',
      `${figure(cost.sent)} to the target + ${figure(cost.received)} back + ${figure(cost.usage)} usage, at ${figure(leases)} leases`,
      cost.full,
    ),
    row(
      'bytes a second of a target',
      `${figure(cost.full)} / ${renewSeconds} s`,
      cost.full / renewSeconds,
    ),
    row(
      'KB a second of a domain, one keeper',
      `${figure(derived.targetsPerDomain)} targets * ${figure(cost.full)} / ${renewSeconds} s`,
      (rate * cost.full) / KB,
    ),
    row(
      'processor of a domain, % of a core',
      `${figure(rate)} renewals a second * ${figure(cost.busyMs)} ms / 10`,
      (rate * cost.busyMs) / 10,
    ),
  ]);
}

function membershipTable(slopes) {
  const {entriesPerDomain} = assumed;
  const cost = beats(slopes, entriesPerDomain);
  const {heartbeatSeconds, farBeatRatio} = settings;
  const beatMs = slopes.get('beat-time');
  const links = entriesPerDomain - 1 + cost.farLinks / farBeatRatio;
  const relay = slopes.get('relay-bytes').slope;
  const rates = recordRates(slopes, target, derived.tasksPerJob);
  return table(HEADS, [
    row(
      'bytes a second within the domain',
      `${entriesPerDomain - 1} peers * ${figure(cost.bytes)} / ${heartbeatSeconds} s`,
      cost.near,
    ),
    row(
      'bytes a second to other domains',
      `(${target.domains - 1} own links + ${target.domains - 1} of others) * ${figure(cost.bytes)} / ${heartbeatSeconds * farBeatRatio} s`,
      cost.far,
    ),
    row(
      'processor, % of a core',
      `(${figure(beatMs.intercept)} + ${figure(links)} * ${figure(beatMs.slope)}) ms / ${heartbeatSeconds} s / 10`,
      (beatMs.intercept + links * beatMs.slope) / heartbeatSeconds / 10,
    ),
    row(
      'bytes a second of an instance that lives by the relay',
      `${figure(rates.recordsPerSecond)} records a second * ${figure(relay)}`,
      rates.recordsPerSecond * relay,
    ),
  ]);
}

function configurationTable(slopes) {
  const perDay = target.changesPerDay;
  const fold = slopes.at('fold-change', target.workers);
  const spread = slopes.get('change-spread').intercept;
  return table(HEADS, [
    row(
      'processor to fold, ms a day',
      `${figure(perDay)} changes * ${figure(fold)}`,
      perDay * fold,
    ),
    row(
      'from the append to every fold, ms',
      'intercept of `change-spread`: the rest of that slope is the followers sharing one process',
      spread,
    ),
    row(
      'state, MB',
      `${figure(target.workers)} targets * ${figure(slopes.get('state-target').slope)} + ${target.workspaces} workspaces * ${figure(slopes.get('state-workspace').slope)} bytes`,
      (target.workers * slopes.get('state-target').slope +
        target.workspaces * slopes.get('state-workspace').slope) /
        MB,
    ),
  ]);
}

function row(what, calculation, value) {
  return [what, calculation, figure(value)];
}
