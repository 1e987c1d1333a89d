/** Runs a daemon as a child process, with signals for fault injection. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, mkdtempSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';

/** Name and addresses of a daemon; addresses are IP:PORT. */
export interface DaemonConfig {
  name: string;
  frontAddress: string;
  readinessAddress: string;
  metricsPort: number;
  peerPort: number;
  storeAddress: string;
}

/** Starts and signals one daemon; acts only on processes that it started itself. */
export class DaemonProcess {
  /** File that receives the daemon's standard output and error. */
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

  /** Starts a new process of the daemon. */
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

  /** Sends a signal to the process if it is running. */
  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    this.child?.kill(name);
  }

  /** Resolves once the process has exited. */
  async waitForExit(): Promise<void> {
    const {child} = this;
    if (child && child.exitCode === null && child.signalCode === null) {
      await new Promise(resolve => child.once('exit', resolve));
    }
  }
}

/** Returns the contents of the daemon's settings file. */
function createSettings(config: DaemonConfig): object {
  return {
    instance: config.name,
    domain: 'd0',
    address: '127.0.0.1',
    front: config.frontAddress,
    ready: config.readinessAddress,
    metricsPort: config.metricsPort,
    peerPort: config.peerPort,
    cores: 1,
    coreShare: 1,
    log: config.storeAddress,
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
