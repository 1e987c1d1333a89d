/** Cost model: computes the cost of control from measured slopes and counts. */
import {
  SECONDS_PER_DAY,
  assumptions,
  derived,
  settings,
  twoYearSize,
} from './sizes.mjs';

/** Number of records of one job: submitted, placed, started, finished. */
export const RECORDS_PER_JOB = 4;

/** Share of the two-year size at which whole states are measured. */
export const FULL_SHARE = 1;

/** Creates a lookup of the measured slopes by id; an unknown id throws. */
export function createSlopeLookup(report) {
  const byId = new Map(report.slopes.map(slope => [slope.id, slope]));
  const get = id => {
    const slope = byId.get(id);
    if (!slope) {
      throw new Error(`the slope report has no slope "${id}"`);
    }
    return slope;
  };
  return {
    get,
    /** Evaluates the fitted line at x. */
    evaluate: (id, x) => get(id).intercept + get(id).slope * x,
    /** Returns the value that was measured at x; throws when x is not a measured point. */
    getMeasured: (id, x) => get(id).points.find(point => point.x === x).y,
  };
}

/** Computes the rates at which a cluster writes records, in records and bytes. */
export function computeRecordRates(
  slopes,
  {jobsPerDay, changesPerDay},
  tasksPerJob,
) {
  const jobBytes = slopes.evaluate('record-job', tasksPerJob);
  const changeBytes = slopes.evaluate('record-change', 1);
  const bytesPerDay = jobsPerDay * jobBytes + changesPerDay * changeBytes;
  const recordsPerDay = jobsPerDay * RECORDS_PER_JOB + changesPerDay;
  return {
    jobBytes,
    changeBytes,
    recordsPerDay,
    recordsPerSecond: recordsPerDay / SECONDS_PER_DAY,
    bytesPerSecond: bytesPerDay / SECONDS_PER_DAY,
  };
}

/**
 * Computes the cost of one lease renewal of a target: `full` and `empty` are the
 * bytes with a whole report and with a report without changes.
 */
export function computeRenewalCost(slopes, leases) {
  const sent = slopes.evaluate('renewal-sent', leases);
  const received = slopes.evaluate('renewal-received', leases);
  const usage = slopes.evaluate('usage-received', leases);
  const empty =
    slopes.get('renewal-sent').intercept +
    slopes.get('renewal-received').intercept;
  return {
    sent,
    received,
    usage,
    full: sent + received + usage,
    empty,
    busyMs: Math.max(0, slopes.evaluate('renewal-time', leases)),
  };
}

/**
 * Computes the heartbeat traffic of one of `entries` instances of a domain, in
 * bytes per second, with at most `maxPeers` peers in its own domain.
 */
export function computeHeartbeatTraffic(slopes, entries, maxPeers = Infinity) {
  const bytes = slopes.get('beat-bytes').slope;
  const peers = Math.min(entries - 1, maxPeers);
  const ownDomain = (peers * bytes) / settings.heartbeatSeconds;
  const remoteLinks = 2 * (twoYearSize.domains - 1);
  const remoteIntervalSeconds =
    settings.heartbeatSeconds * settings.remoteHeartbeatRatio;
  const otherDomains = (remoteLinks * bytes) / remoteIntervalSeconds;
  return {
    bytes,
    ownDomain,
    remoteLinks,
    otherDomains,
    total: ownDomain + otherDomains,
  };
}

/** Computes the traffic of an entry instance that renews no leases, in bytes per second. */
export function computeFixedBytes(slopes, entries, maxPeers = Infinity) {
  const log = slopes.getMeasured('daemon-log-bytes', FULL_SHARE);
  const records = computeRecordRates(slopes, twoYearSize, derived.tasksPerJob);
  const heartbeats = computeHeartbeatTraffic(slopes, entries, maxPeers);
  return {
    log,
    records: records.bytesPerSecond,
    heartbeats: heartbeats.total,
    total: log + records.bytesPerSecond + heartbeats.total,
  };
}

/** Computes the traffic of an entry instance that renews its share of a domain's leases, in bytes per second. */
export function computeEntryBytes(
  slopes,
  entries,
  renewalBytes,
  renewSeconds,
  maxPeers = Infinity,
) {
  const bytesPerTarget = renewalBytes / renewSeconds;
  const targetsPerEntry = derived.targetsPerDomain / entries;
  return (
    computeFixedBytes(slopes, entries, maxPeers).total +
    targetsPerEntry * bytesPerTarget
  );
}

/**
 * Finds the smallest number of entry instances of a domain at which each stays
 * within `limit` bytes per second and sends heartbeats to at most `maxPeers` of
 * them; Infinity when no number does.
 */
export function findMinEntries(
  slopes,
  renewalBytes,
  renewSeconds,
  limit,
  maxPeers,
) {
  const maxEntries = derived.targetsPerDomain;
  for (let entries = 1; entries <= maxEntries; entries++) {
    const bytes = computeEntryBytes(
      slopes,
      entries,
      renewalBytes,
      renewSeconds,
      maxPeers,
    );
    if (bytes <= limit) {
      return entries;
    }
  }
  return Infinity;
}

/** Computes the components of the time from an urgent request to its start, in milliseconds, and the number of targets. */
export function computeUrgentStart(slopes) {
  const targets = twoYearSize.largestGang / assumptions.tasksPerAssignment;
  const append = slopes.get('change-spread').intercept;
  const decide = slopes.evaluate('decide-urgent', derived.targetsPerDomain);
  const queue = slopes.evaluate('decide-queue', assumptions.waitingJobs);
  const start = slopes.evaluate('gang-start', targets);
  const appends = 2 * (settings.appendSpacingMs + append);
  return {
    targets,
    append,
    appends,
    decide,
    queue,
    start,
    total: appends + queue + decide + start,
  };
}
