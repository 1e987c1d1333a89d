/** Starts and ends the child processes of the demonstration. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** Time within which a stand-in must print its URL. */
const START_TIMEOUT_MS = 15_000;

/** Child process of the demonstration. */
export interface Child {
  name: string;
  process: ChildProcess;
  /** Resolves to the exit code, or to null if a signal ended the process. */
  exited: Promise<number | null>;
}

/** Options of a child process. */
export interface LaunchOptions {
  /** Unique name, also of the output file. */
  name: string;
  /** Path of the Node.js script to run. */
  script: string;
  args: readonly string[];
}

/** Child processes by name; only processes that it started are ever signalled. */
export class ChildProcesses {
  private readonly children = new Map<string, Child>();

  /** Creates `logDir`, which receives the output of every child. */
  constructor(private readonly logDir: string) {
    mkdirSync(logDir, {recursive: true});
  }

  /** Starts a process and appends its output to a file of its own. */
  start(options: LaunchOptions): Child {
    const childProcess = spawn(
      process.execPath,
      [options.script, ...options.args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(join(this.logDir, `${options.name}.log`), {
      flags: 'a',
    });
    childProcess.stdout.pipe(log, {end: false});
    childProcess.stderr.pipe(log, {end: false});
    const exited = new Promise<number | null>(resolve =>
      childProcess.once('exit', code => resolve(code)),
    );
    const child = {name: options.name, process: childProcess, exited};
    this.children.set(options.name, child);
    return child;
  }

  /** Starts a stand-in and resolves to the URL that it prints. Rejects after a timeout. */
  async startServer(options: LaunchOptions): Promise<string> {
    const child = this.start(options);
    const lines = createInterface({input: child.process.stdout!});
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(new Error(`${options.name} did not print its URL in time`)),
        START_TIMEOUT_MS,
      );
      lines.on('line', line => {
        const url = parseListeningUrl(line);
        if (url) {
          clearTimeout(timer);
          resolve(url);
        }
      });
    });
  }

  /** Kills a process with SIGKILL and waits for its exit. */
  async kill(name: string): Promise<void> {
    const child = this.children.get(name);
    child?.process.kill('SIGKILL');
    await child?.exited;
    this.children.delete(name);
  }

  /** Suspends a process with SIGSTOP, or resumes it with SIGCONT. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.children.get(name)?.process.kill(signal);
  }

  /** Stops a process with SIGTERM and resolves to its exit code. */
  async stop(name: string): Promise<number | null> {
    const child = this.children.get(name);
    child?.process.kill('SIGTERM');
    const code = (await child?.exited) ?? null;
    this.children.delete(name);
    return code;
  }

  /** Kills every process that was started. */
  async stopAll(): Promise<void> {
    const names = [...this.children.keys()];
    await Promise.all(names.map(name => this.kill(name)));
  }
}

/** Returns the URL of a "listening" line; undefined for any other line. */
function parseListeningUrl(line: string): string | undefined {
  try {
    const value = JSON.parse(line) as {event?: string; url?: string};
    return value.event === 'listening' ? value.url : undefined;
  } catch {
    return undefined;
  }
}
