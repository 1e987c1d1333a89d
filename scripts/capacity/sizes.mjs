/** The sizes that docs/CAPACITY.md is worked out for, and the settings that it assumes. */

export const SECONDS_PER_DAY = 86_400;

/** Two years ahead, as the users named it. */
export const target = {
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

/** Kestrelway today. The users name no rates; these two are assumed. */
export const today = {
  workers: 30,
  domains: 3,
  entriesPerDomain: 2,
  jobsPerDay: 1000,
  changesPerDay: 100,
};

/** What the users allow a node for control, and the times that they ask for. */
export const limits = {
  processorPercent: 3.2,
  memoryMb: 128,
  bytesPerSecond: 5000,
  urgentMs: 1700,
  configurationMs: 7000,
  /** "Several hundred", for everyone. */
  appendsPerSecond: 300,
};

/** What is not known, and therefore assumed. */
export const assumed = {
  /** Tasks of one gang on one target. */
  tasksPerPart: 4,
  /** Mean run time of a job in hours. */
  runHours: 8,
  /** Entry instances of a failure domain. */
  entriesPerDomain: 10,
  waitingJobs: 200,
};

/** Settings at the two-year size; the defaults are for the sizes of today. */
export const settings = {
  heartbeatSeconds: 1,
  /** Heartbeats within a domain for one to another domain. */
  farBeatRatio: 2,
  renewSeconds: 1,
  logWaitSeconds: 0.5,
  appendSpacingMs: 1000 / 40,
  freshnessMs: 2000,
  reservationMs: 2000,
  snapshotsPerDay: 24,
  recordsPerAppend: 1000,
  bytesPerAppend: 1_048_576,
};

/** Figures that follow from the sizes alone. */
export const derived = {
  targetsPerDomain: Math.ceil(target.workers / target.domains),
  leasesPerTarget: target.tasks / assumed.tasksPerPart / target.workers,
  tasksPerJob: target.tasks / ((target.jobsPerDay * assumed.runHours) / 24),
  runningJobs: (target.jobsPerDay * assumed.runHours) / 24,
  entries: assumed.entriesPerDomain * target.domains,
};
