/** The cost model: every figure is a slope times a count. */
import {SECONDS_PER_DAY, assumed, derived, settings, target} from './sizes.mjs';

/** Records of one job: submitted, placed, started, finished. */
export const RECORDS_PER_JOB = 4;

/** Two-year share at which whole states were measured. */
export const WHOLE = 1;

/** Access to the measured slopes by name. */
export function slopesOf(report) {
  const byId = new Map(report.slopes.map(slope => [slope.id, slope]));
  const get = id => {
    const slope = byId.get(id);
    if (!slope) {
      throw new Error(`${id} was not measured`);
    }
    return slope;
  };
  return {
    get,
    /** The line's value at x. */
    at: (id, x) => get(id).intercept + get(id).slope * x,
    /** The value that was measured at x itself. */
    measured: (id, x) => get(id).points.find(point => point.x === x).y,
  };
}

/** Bytes a second of records that a cluster with these rates writes. */
export function recordRates(slopes, {jobsPerDay, changesPerDay}, tasksPerJob) {
  const jobBytes = slopes.at('record-job', tasksPerJob);
  const changeBytes = slopes.at('record-change', 1);
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

/** What one renewal of a target costs, with everything in it or only with what changed. */
export function renewal(slopes, leases) {
  const sent = slopes.at('renewal-sent', leases);
  const received = slopes.at('renewal-received', leases);
  const usage = slopes.at('usage-received', leases);
  const empty =
    slopes.get('renewal-sent').intercept +
    slopes.get('renewal-received').intercept;
  return {
    sent,
    received,
    usage,
    full: sent + received + usage,
    empty,
    busyMs: Math.max(0, slopes.at('renewal-time', leases)),
  };
}

/** Bytes a second of heartbeats of one of `entries` instances of a domain, with at most `mostPeers` of them. */
export function beats(slopes, entries, mostPeers = Infinity) {
  const bytes = slopes.get('beat-bytes').slope;
  const peers = Math.min(entries - 1, mostPeers);
  const near = (peers * bytes) / settings.heartbeatSeconds;
  const farLinks = 2 * (target.domains - 1);
  const farSeconds = settings.heartbeatSeconds * settings.farBeatRatio;
  const far = (farLinks * bytes) / farSeconds;
  return {bytes, near, farLinks, far, total: near + far};
}

/** Bytes a second that an entry instance spends before it keeps any lease. */
export function fixedBytes(slopes, entries, mostPeers = Infinity) {
  const log = slopes.measured('daemon-log-bytes', WHOLE);
  const records = recordRates(slopes, target, derived.tasksPerJob);
  const beat = beats(slopes, entries, mostPeers);
  return {
    log,
    records: records.bytesPerSecond,
    beats: beat.total,
    total: log + records.bytesPerSecond + beat.total,
  };
}

/** Bytes a second of an entry instance that keeps its share of a domain's leases. */
export function entryBytes(
  slopes,
  entries,
  renewalBytes,
  renewSeconds,
  mostPeers = Infinity,
) {
  const perTarget = renewalBytes / renewSeconds;
  const shard = derived.targetsPerDomain / entries;
  return fixedBytes(slopes, entries, mostPeers).total + shard * perTarget;
}

/**
 * The fewest entry instances of a domain that stay within `limit` bytes a
 * second, each with beats to at most `mostPeers` of them; Infinity when no
 * number does.
 */
export function fewestEntries(
  slopes,
  renewalBytes,
  renewSeconds,
  limit,
  mostPeers,
) {
  const most = derived.targetsPerDomain;
  for (let entries = 1; entries <= most; entries++) {
    const bytes = entryBytes(
      slopes,
      entries,
      renewalBytes,
      renewSeconds,
      mostPeers,
    );
    if (bytes <= limit) {
      return entries;
    }
  }
  return Infinity;
}

/** The parts of the time from an urgent request to its start, in milliseconds. */
export function urgentStart(slopes) {
  const parts = target.largestGang / assumed.tasksPerPart;
  const append = slopes.get('change-spread').intercept;
  const decide = slopes.at('decide-urgent', derived.targetsPerDomain);
  const queue = slopes.at('decide-queue', assumed.waitingJobs);
  const start = slopes.at('gang-start', parts);
  const appends = 2 * (settings.appendSpacingMs + append);
  return {
    parts,
    append,
    appends,
    decide,
    queue,
    start,
    total: appends + queue + decide + start,
  };
}
