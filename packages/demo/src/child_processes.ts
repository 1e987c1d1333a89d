/** Starts and ends the processes of the demonstration, by their process ids. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

const START_TIMEOUT_MS = 15_000;

/** A process of the demonstration. */
export interface Child {
  name: string;
  process: ChildProcess;
  /** Resolves to the exit code; null after a signal. */
  exited: Promise<number | null>;
}

/** How to start a process. */
export interface LaunchOptions {
  name: string;
  script: string;
  args: readonly string[];
}

/** The processes that this demonstration started. */
export class ChildProcesses {
  private readonly children = new Map<string, Child>();

  constructor(private readonly logDir: string) {
    mkdirSync(logDir, {recursive: true});
  }

  /** Starts a process; its output goes to a file of its own. */
  start(launch: LaunchOptions): Child {
    const child = spawn(process.execPath, [launch.script, ...launch.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.logDir, `${launch.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    const exited = new Promise<number | null>(resolve =>
      child.once('exit', code => resolve(code)),
    );
    const entry = {name: launch.name, process: child, exited};
    this.children.set(launch.name, entry);
    return entry;
  }

  /** Starts a stand-in and resolves to the URL that it announces. */
  async startServer(launch: LaunchOptions): Promise<string> {
    const child = this.start(launch);
    const lines = createInterface({input: child.process.stdout!});
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${launch.name} did not start`)),
        START_TIMEOUT_MS,
      );
      lines.on('line', line => {
        const url = readAnnouncement(line);
        if (url) {
          clearTimeout(timer);
          resolve(url);
        }
      });
    });
  }

  /** Kills a process at once. */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name);
    child?.process.kill('SIGKILL');
    await child?.exited;
    this.children.delete(name);
  }

  /** Freezes a process, or lets it go on. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.children.get(name)?.process.kill(signal);
  }

  /** Asks a process to stop, and resolves to its exit code. */
  async stop(name: string): Promise<number | null> {
    const child = this.children.get(name);
    child?.process.kill('SIGTERM');
    const code = (await child?.exited) ?? null;
    this.children.delete(name);
    return code;
  }

  /** Ends everything that was started. */
  async stopAll(): Promise<void> {
    const names = [...this.children.keys()];
    await Promise.all(names.map(name => this.kill(name)));
  }
}

function readAnnouncement(line: string): string | undefined {
  try {
    const value = JSON.parse(line) as {event?: string; url?: string};
    return value.event === 'listening' ? value.url : undefined;
  } catch {
    return undefined;
  }
}
