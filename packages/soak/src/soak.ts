/** Runs one seeded soak test: real daemons, an emulated platform, callers and overlapping faults. */
import type {TargetInfo} from '@galenavalve/dispatch';
import {
  EmulatedFleet,
  EmulatedLog,
  POOL,
  RunAuditor,
  type Violation,
} from '@galenavalve/emulator';
import {SeededRandom, SystemClock, nextInteger} from '@galenavalve/shared';
import {createQueue} from '@galenavalve/emulator';
import {parseTaskName} from '@galenavalve/workload';
import {decodeJob} from '@galenavalve/users-platform';
import {Caller} from './caller.js';
import {DaemonProcess} from './daemon_process.js';
import {
  CAPACITY_FAULTS,
  FAULTS,
  type Fault,
  MAX_ACCELERATORS,
} from './faults.js';
import {
  createDesiredState,
  createRegistryEntry,
} from './standins/platform_records.js';
import {createTopicMap, serveStore} from './standins/store_standin.js';
import {serveTarget} from './standins/target_standin.js';

const DAEMON_COUNT = 3;
const TARGET_COUNT = 6;

/** First port of the daemons, below the kernel's ephemeral ports; concurrent runs with different seeds use different blocks. */
const FIRST_PORT = 22_000;
const PORTS_PER_RUN = 16;
const PORT_BLOCK_COUNT = 200;

/** Longest delay before a job is submitted. */
const MAX_JOB_INTERVAL_MS = 800;

/** Share of jobs whose first task crashes each target that starts it, and the age of the run at the crash. */
const CRASHING_SHARE = 0.12;
const CRASH_AGE_MS = 20;

/** Added to the seed for choices that leave those of earlier soak runs with the seed as they were. */
const ADDED_CHOICES_SEED = 1_000_000;

/** Time after the last fault within which all accepted jobs must have completed. */
const SETTLE_TIMEOUT_MS = 60_000;

/** Options of a soak run. */
export interface SoakOptions {
  seed: number;
  /** Number of jobs to submit. */
  jobs: number;
  /** Mean interval between faults, in milliseconds. */
  meanFaultIntervalMs: number;
}

/** Result of a soak run. */
export interface SoakReport {
  seed: number;
  /** Number of accepted jobs. */
  accepted: number;
  /** Number of jobs of which every attempt was rejected. */
  rejected: number;
  /** Names of the injected faults, in order. */
  faults: string[];
  violations: Violation[];
  /** Accepted jobs that did not complete in time, with their last known state. */
  unfinished: string[];
  /** Jobs that were recorded although every attempt to submit them was rejected. */
  falselyRejected: string[];
  logFiles: string[];
}

/** The parts of a soak run that faults act on. */
export interface SoakEnvironment {
  daemons: DaemonProcess[];
  jobLog: EmulatedLog;
  /** The emulated targets and the network between them and the instances. */
  fleet: EmulatedFleet;
  /** Crashes a target and starts a new incarnation of it under the same id. */
  restartTarget(id: string): void;
  random: SeededRandom;
}

/** Executes one soak run, and stops all processes and stand-ins that it started. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = new SeededRandom(options.seed);
  const clock = new SystemClock();
  const auditor = new RunAuditor();
  const jobLog = new EmulatedLog(clock, random);
  const operatorLog = new EmulatedLog(clock, random);
  const registryLog = new EmulatedLog(clock, random);
  const addedRandom = new SeededRandom(options.seed + ADDED_CHOICES_SEED);
  const steps = new Map<string, {gangSize: number; work: number}>();
  const crashingJobs = new Set<string>();
  const bounds = {maxLease: 5000, stopTime: 400, gangTime: 3000};
  const fleet = new EmulatedFleet(
    clock,
    random,
    bounds,
    task => ({
      work: 800,
      savesProgress: false,
      gangSize: 1,
      ...steps.get(parseTaskName(task)?.jobId ?? ''),
      crashesTargetAt: isCrashing(task, crashingJobs)
        ? CRASH_AGE_MS
        : undefined,
    }),
    auditor,
  );
  // The address of a stand-in serves one id.
  fleet.faults.newIdAfterCrash = false;
  let isFinished = false;
  const standins = await Promise.all(
    Array.from({length: TARGET_COUNT}, (_, index) =>
      serveTarget(
        fleet.createTargetPort(),
        `t${index}`,
        () => fleet.targets.get(`t${index}`)!.info.address,
      ),
    ),
  );
  const register = (info: TargetInfo) =>
    registryLog.put({key: info.id, value: createRegistryEntry(info)});
  void fleet
    .createTargetRegistry()
    .open({onTarget: register, onTargetRemoved: () => undefined});
  standins.forEach(({address}, index) => {
    const info = createTarget(index, address);
    fleet.addTarget(info);
    register(info);
  });
  operatorLog.put({key: 'config', value: createDesiredState(1, POOL)});
  const topics = createTopicMap(jobLog, operatorLog, registryLog);
  const daemons: DaemonProcess[] = [];
  for (let index = 0; index < DAEMON_COUNT; index++) {
    const store = await serveStore(topics, `instance-${index}`);
    standins.push(store);
    daemons.push(createDaemon(options.seed, index, store.address));
  }
  const caller = new Caller(daemons.map(({config}) => config.frontAddress));
  const report: SoakReport = {
    seed: options.seed,
    accepted: 0,
    rejected: 0,
    faults: [],
    violations: auditor.violations,
    unfinished: [],
    falselyRejected: [],
    logFiles: daemons.map(({logFile}) => logFile),
  };
  const environment: SoakEnvironment = {
    daemons,
    jobLog,
    fleet,
    random,
    restartTarget: id => {
      const {info} = fleet.targets.get(id)!;
      fleet.crashTarget(id);
      const restarted = {...info, born: info.born + 1};
      fleet.addTarget(restarted);
      register(restarted);
    },
  };
  try {
    void fleet.run(() => isFinished);
    daemons.forEach(daemon => daemon.start());
    let isSubmissionDone = false;
    const isDone = () => isSubmissionDone;
    const injection = Promise.all([
      injectFaults(FAULTS, environment, options, report, isDone),
      injectFaults(
        CAPACITY_FAULTS,
        {...environment, random: addedRandom},
        options,
        report,
        isDone,
      ),
    ]);
    const accepted = new Map<string, number>();
    const rejected: string[] = [];
    for (let index = 0; index < options.jobs; index++) {
      const id = (options.seed * 1000 + index).toString(16).padStart(16, '0');
      const priority = nextInteger(random, 3);
      const body = createJobBody(random);
      if (addedRandom.next() < CRASHING_SHARE) {
        crashingJobs.add(id);
      }
      const decoded = decodeJob(body);
      if ('spec' in decoded) {
        const [step] = decoded.spec.steps;
        steps.set(id, {
          gangSize: step!.isGang ? step!.count : 1,
          work: step!.estimateMs,
        });
        const queue = createQueue(priority);
        auditor.onSubmitted(id, {
          queue: queue.name,
          workspace: 'w',
          acceptedAt: clock.wallTime(),
          terms: queue.terms,
          spec: decoded.spec,
        });
      }
      await sleep(random.next() * MAX_JOB_INTERVAL_MS);
      const response = await caller.submit(id, priority, body, 8);
      if (response === 'accepted') {
        accepted.set(id, priority);
      } else if (response === 'rejected') {
        rejected.push(id);
      }
    }
    report.accepted = accepted.size;
    report.rejected = rejected.length;
    isSubmissionDone = true;
    await injection;
    report.unfinished = await waitForJobs(caller, accepted, crashingJobs);
    report.falselyRejected = rejected.filter(id =>
      jobLog.history.some(({key}) => key === `s/${id}`),
    );
    return report;
  } finally {
    isFinished = true;
    caller.close();
    for (const daemon of daemons) {
      daemon.signal('SIGCONT');
      daemon.signal('SIGKILL');
      await daemon.waitForExit();
    }
    standins.forEach(standin => standin.close());
  }
}

/** Injects random faults, which may overlap, until `isFinished` returns true; resolves once all have ended. */
async function injectFaults(
  faults: readonly Fault[],
  environment: SoakEnvironment,
  {meanFaultIntervalMs}: SoakOptions,
  report: SoakReport,
  isFinished: () => boolean,
): Promise<void> {
  const running: Array<Promise<void>> = [];
  while (!isFinished()) {
    await sleep(meanFaultIntervalMs * (0.5 + environment.random.next()));
    if (!isFinished()) {
      const fault = faults[nextInteger(environment.random, faults.length)]!;
      report.faults.push(fault.name);
      running.push(fault.run(environment));
    }
  }
  await Promise.all(running);
}

/** Polls until every accepted job is complete, or has failed if it crashes targets, or the timeout has passed; returns the others with their last state. */
async function waitForJobs(
  caller: Caller,
  accepted: ReadonlyMap<string, number>,
  crashingJobs: ReadonlySet<string>,
): Promise<string[]> {
  const pending = new Map(accepted);
  const states = new Map<string, string | undefined>();
  const until = Date.now() + SETTLE_TIMEOUT_MS;
  while (pending.size > 0 && Date.now() < until) {
    for (const [id, priority] of [...pending]) {
      const state = await caller.getState(id, priority);
      states.set(id, state);
      if (state === (crashingJobs.has(id) ? 'failed' : 'complete')) {
        pending.delete(id);
      }
    }
    await sleep(100);
  }
  return [...pending.keys()].map(id => `${id}: ${states.get(id)}`);
}

function isCrashing(task: string, crashingJobs: ReadonlySet<string>): boolean {
  const name = parseTaskName(task);
  return name?.index === 0 && crashingJobs.has(name.jobId);
}

function createDaemon(seed: number, index: number, storeAddress: string) {
  const block = seed % PORT_BLOCK_COUNT;
  const firstPort = FIRST_PORT + block * PORTS_PER_RUN + index * 4;
  return new DaemonProcess({
    name: `instance-${index}`,
    frontAddress: `127.0.0.1:${firstPort}`,
    readinessAddress: `127.0.0.1:${firstPort + 1}`,
    metricsPort: firstPort + 2,
    peerPort: firstPort + 3,
    storeAddress,
  });
}

function createTarget(index: number, address: string): TargetInfo {
  const rack = `r${Math.floor(index / 3)}-1`;
  return {
    id: `t${index}`,
    born: 1,
    address,
    pool: POOL,
    domain: `d${index % 3}`,
    rack,
    labels: [rack],
    capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: MAX_ACCELERATORS},
    isDraining: false,
  };
}

/** Returns the request body of a random job with one step. */
function createJobBody(random: SeededRandom): object {
  const isGang = random.next() < 0.5;
  const step = {
    count: 1 + nextInteger(random, 4),
    cpu: 4000,
    mem_mb: 4000,
    gpu: [1, 2, 4][nextInteger(random, 3)],
    estimate_ms: 300 + nextInteger(random, 1500),
    gang: isGang,
  };
  return {spec: 'soak', steps: [step]};
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
