/** Defines the sizes for which docs/CAPACITY.md is computed, and the settings that it assumes. */

export const SECONDS_PER_DAY = 86_400;

/** Two-year size: the size that users expect in two years. */
export const twoYearSize = {
  workers: 8200,
  domains: 7,
  regions: 2,
  workspaces: 540,
  tasks: 190_000,
  largestGang: 512,
  jobsPerDay: 6600,
  changesPerDay: 8800,
  lossesPerDay: 1747,
};

/** Kestrelway's present size. Its users state no rates of jobs and changes, so both are assumed. */
export const todaySize = {
  workers: 30,
  domains: 3,
  entriesPerDomain: 2,
  jobsPerDay: 1000,
  changesPerDay: 100,
};

/** Resources that users allow for control on a machine, and times that they require. */
export const limits = {
  processorPercent: 3.2,
  memoryMb: 128,
  bytesPerSecond: 5000,
  urgentMs: 1700,
  configurationMs: 7000,
  /** Limit for all instances together; users state it as "several hundred". */
  appendsPerSecond: 300,
};

/** Values that are assumed because they are not known. */
export const assumptions = {
  /** Number of tasks of one gang on one target. */
  tasksPerAssignment: 4,
  /** Mean run time of a job. */
  runHours: 8,
  /** Number of entry instances of a failure domain. */
  entriesPerDomain: 10,
  waitingJobs: 200,
};

/** Settings at the two-year size; the defaults of the program are for present sizes. */
export const settings = {
  heartbeatSeconds: 1,
  /** Number of heartbeats within a domain for each heartbeat to another domain. */
  remoteHeartbeatRatio: 2,
  renewSeconds: 1,
  logWaitSeconds: 0.5,
  appendSpacingMs: 1000 / 40,
  freshnessMs: 2000,
  reservationMs: 2000,
  snapshotsPerDay: 24,
  recordsPerAppend: 1000,
  bytesPerAppend: 1_048_576,
};

/** Quantities that are derived from the sizes alone. */
export const derived = {
  targetsPerDomain: Math.ceil(twoYearSize.workers / twoYearSize.domains),
  leasesPerTarget:
    twoYearSize.tasks / assumptions.tasksPerAssignment / twoYearSize.workers,
  tasksPerJob:
    twoYearSize.tasks / ((twoYearSize.jobsPerDay * assumptions.runHours) / 24),
  runningJobs: (twoYearSize.jobsPerDay * assumptions.runHours) / 24,
  entries: assumptions.entriesPerDomain * twoYearSize.domains,
};
