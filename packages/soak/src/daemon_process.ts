/** One daemon as a process of its own, with signals as faults. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';

/** Where a daemon listens and what it talks to. */
export interface DaemonConfig {
  name: string;
  frontAddress: string;
  readinessAddress: string;
  metricsPort: number;
  peerPort: number;
  storeAddress: string;
}

/** Starts, stops, pauses and kills one daemon; only processes that it started itself. */
export class DaemonProcess {
  readonly logFile: string;
  private child?: ChildProcess;
  private readonly settingsFile: string;

  constructor(readonly config: DaemonConfig) {
    const folder = mkdtempSync(join(tmpdir(), 'galenavalve-soak-'));
    this.settingsFile = join(folder, 'settings.json');
    this.logFile = join(folder, `${config.name}.log`);
    writeFileSync(this.settingsFile, JSON.stringify(createSettings(config)));
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  start(): void {
    const require = createRequire(import.meta.url);
    const index = require.resolve('@galenavalve/users-platform');
    const main = join(dirname(index), 'main.js');
    const child = spawn(process.execPath, [main], {
      env: {...process.env, GALENAVALVE_SETTINGS: this.settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(this.logFile, {flags: 'a'});
    child.stdout.pipe(log);
    child.stderr.pipe(log, {end: false});
    child.once('exit', () => {
      if (this.child === child) {
        this.child = undefined;
      }
    });
    this.child = child;
  }

  /** Sends a signal to the process, if it runs. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.child?.kill(name);
  }

  /** Resolves once the process is gone. */
  async waitForExit(): Promise<void> {
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      await new Promise(resolve => child.once('exit', resolve));
    }
  }
}

function createSettings(plan: DaemonConfig): object {
  return {
    instance: plan.name,
    domain: 'd0',
    address: '127.0.0.1',
    front: plan.frontAddress,
    ready: plan.readinessAddress,
    metricsPort: plan.metricsPort,
    peerPort: plan.peerPort,
    cores: 1,
    coreShare: 1,
    log: plan.storeAddress,
    bounds: {
      maxLease: 5000,
      stopTime: 400,
      gangTime: 3000,
      reclaimTime: 2900,
      rackFactor: 3,
      restoreTime: 100,
      checkpointSeconds: 1,
      earlyTime: 250,
      keepEndedSeconds: 120,
      graceSeconds: 4,
    },
  };
}
