/** One seeded run: real daemons, emulated platform, callers, and faults that overlap. */
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
import {FAULTS} from './faults.js';
import {
  createDesiredState,
  createRegistryEntry,
} from './standins/platform_records.js';
import {createTopicMap, serveStore} from './standins/store_standin.js';
import {serveTarget} from './standins/target_standin.js';

const DAEMONS = 3;
const TARGETS = 6;

/** Daemons listen below the ports that the kernel gives out; runs side by side use other blocks. */
const FIRST_PORT = 22_000;
const PORTS_PER_RUN = 16;
const PORT_BLOCKS = 200;

/** Longest pause between two jobs, in milliseconds. */
const JOB_GAP = 800;

/** Jobs must have ended this long after the last fault, in milliseconds. */
const SETTLE_LIMIT = 60_000;

/** What a run is made of. */
export interface SoakOptions {
  seed: number;
  jobs: number;
  /** Mean pause between faults, in milliseconds. */
  meanFaultIntervalMs: number;
}

/** What a run showed. */
export interface SoakReport {
  seed: number;
  accepted: number;
  rejected: number;
  faults: string[];
  violations: Violation[];
  /** Accepted jobs that did not end in time, with their last known state. */
  unfinished: string[];
  /** Jobs of which every try was rejected and that ran all the same. */
  falselyRejected: string[];
  logFiles: string[];
}

/** What faults can act on. */
export interface SoakEnvironment {
  daemons: DaemonProcess[];
  jobLog: EmulatedLog;
  fleet: EmulatedFleet;
  /** Starts a target anew under its id. */
  restartTarget(id: string): void;
  random: SeededRandom;
}

/** Plays one run and stops everything that it started. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const random = new SeededRandom(options.seed);
  const clock = new SystemClock();
  const auditor = new RunAuditor();
  const jobLog = new EmulatedLog(clock, random);
  const operatorLog = new EmulatedLog(clock, random);
  const registryLog = new EmulatedLog(clock, random);
  const steps = new Map<string, {gangSize: number; work: number}>();
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
    }),
    auditor,
  );
  let isOver = false;
  const standins = await Promise.all(
    Array.from({length: TARGETS}, (_, index) =>
      serveTarget(fleet.createTargetPort(), `t${index}`),
    ),
  );
  const register = (info: TargetInfo) =>
    registryLog.put({key: info.id, value: createRegistryEntry(info)});
  standins.forEach(({address}, index) => {
    const info = createTarget(index, address);
    fleet.addTarget(info);
    register(info);
  });
  operatorLog.put({key: 'config', value: createDesiredState(1, POOL)});
  const topics = createTopicMap(jobLog, operatorLog, registryLog);
  const daemons: DaemonProcess[] = [];
  for (let index = 0; index < DAEMONS; index++) {
    const store = await serveStore(topics, `instance-${index}`);
    standins.push(store);
    daemons.push(createDaemon(options.seed, index, store.address));
  }
  const caller = new Caller(daemons.map(({config: plan}) => plan.frontAddress));
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
  const site: SoakEnvironment = {
    daemons,
    jobLog,
    fleet,
    random,
    restartTarget: id => {
      const {info} = fleet.targets.get(id)!;
      fleet.crashTarget(id);
      const next = {...info, born: info.born + 1};
      fleet.addTarget(next);
      register(next);
    },
  };
  try {
    void fleet.run(() => isOver);
    daemons.forEach(daemon => daemon.start());
    let isLoadOver = false;
    const injecting = injectFaults(site, options, report, () => isLoadOver);
    const accepted = new Map<string, number>();
    const rejected: string[] = [];
    for (let index = 0; index < options.jobs; index++) {
      const id = (options.seed * 1000 + index).toString(16).padStart(16, '0');
      const priority = nextInteger(random, 3);
      const body = createBody(random);
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
      await pause(random.next() * JOB_GAP);
      const answer = await caller.submit(id, priority, body, 8);
      if (answer === 'accepted') {
        accepted.set(id, priority);
      } else if (answer === 'rejected') {
        rejected.push(id);
      }
    }
    report.accepted = accepted.size;
    report.rejected = rejected.length;
    isLoadOver = true;
    await injecting;
    report.unfinished = await settle(caller, accepted);
    report.falselyRejected = rejected.filter(id =>
      jobLog.history.some(({key}) => key === `s/${id}`),
    );
    return report;
  } finally {
    isOver = true;
    caller.close();
    for (const daemon of daemons) {
      daemon.signal('SIGCONT');
      daemon.signal('SIGKILL');
      await daemon.waitForExit();
    }
    standins.forEach(standin => standin.close());
  }
}

async function injectFaults(
  site: SoakEnvironment,
  {meanFaultIntervalMs: faultPause}: SoakOptions,
  report: SoakReport,
  isOver: () => boolean,
): Promise<void> {
  const running: Array<Promise<void>> = [];
  while (!isOver()) {
    await pause(faultPause * (0.5 + site.random.next()));
    if (!isOver()) {
      const fault = FAULTS[nextInteger(site.random, FAULTS.length)]!;
      report.faults.push(fault.name);
      running.push(fault.run(site));
    }
  }
  await Promise.all(running);
}

/** Asks until every accepted job has ended. */
async function settle(
  caller: Caller,
  accepted: ReadonlyMap<string, number>,
): Promise<string[]> {
  const open = new Map(accepted);
  const states = new Map<string, string | undefined>();
  const until = Date.now() + SETTLE_LIMIT;
  while (open.size > 0 && Date.now() < until) {
    for (const [id, priority] of [...open]) {
      const state = await caller.getState(id, priority);
      states.set(id, state);
      if (state === 'complete') {
        open.delete(id);
      }
    }
    await pause(100);
  }
  return [...open.keys()].map(id => `${id}: ${states.get(id)}`);
}

function createDaemon(seed: number, index: number, store: string) {
  const block = seed % PORT_BLOCKS;
  const first = FIRST_PORT + block * PORTS_PER_RUN + index * 4;
  return new DaemonProcess({
    name: `instance-${index}`,
    frontAddress: `127.0.0.1:${first}`,
    readinessAddress: `127.0.0.1:${first + 1}`,
    metricsPort: first + 2,
    peerPort: first + 3,
    storeAddress: store,
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
    capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
    isDraining: false,
  };
}

function createBody(random: SeededRandom): object {
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

function pause(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
