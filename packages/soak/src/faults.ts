/** Faults that the soak brings about from outside the daemons; each undoes itself. */
import {nextInteger} from '@galenavalve/shared';
import type {DaemonProcess} from './daemon_process.js';
import type {SoakEnvironment} from './soak.js';

/** One kind of fault. */
export interface Fault {
  name: string;
  run(site: SoakEnvironment): Promise<void>;
}

/** Every kind of fault. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'a daemon is killed',
    run: async site => {
      const daemon = pickDaemon(site);
      daemon.signal('SIGKILL');
      await daemon.waitForExit();
      await restart(daemon, 500);
    },
  },
  {
    name: 'a daemon is paused beyond its leases',
    run: async site => {
      const daemon = pickDaemon(site);
      daemon.signal('SIGSTOP');
      await pause(1000 + site.random.next() * 5000);
      daemon.signal('SIGCONT');
    },
  },
  {
    name: 'a daemon is stopped as planned',
    run: async site => {
      const daemon = pickDaemon(site);
      daemon.signal('SIGTERM');
      await daemon.waitForExit();
      await restart(daemon, 100);
    },
  },
  {
    name: 'the log turns an instance away',
    run: async site => {
      const {name} = pickDaemon(site).config;
      site.jobLog.faults.busyTo.add(name);
      await pause(3000);
      site.jobLog.faults.busyTo.delete(name);
    },
  },
  {
    name: 'the log is silent for all',
    run: async site => {
      site.jobLog.faults.silentTo.add('all');
      await pause(2000);
      site.jobLog.faults.silentTo.delete('all');
    },
  },
  {
    name: 'answers of the log are lost, and some appends land late',
    run: async site => {
      Object.assign(site.jobLog.faults, {lostAnswers: 0.3, lateAppends: 0.5});
      await pause(3000);
      Object.assign(site.jobLog.faults, {lostAnswers: 0, lateAppends: 0});
    },
  },
  {
    name: 'the log forgets its history',
    run: async site => site.jobLog.compact(),
  },
  {
    name: 'orders are carried out late',
    run: async site => {
      site.fleet.faults.delayedCommands = 0.2;
      await pause(3000);
      site.fleet.faults.delayedCommands = 0;
    },
  },
  {
    name: 'a target is cut off',
    run: async site => {
      const id = pickTarget(site);
      site.fleet.faults.unreachableTargets.add(id);
      await pause(2000 + site.random.next() * 6000);
      site.fleet.faults.unreachableTargets.delete(id);
    },
  },
  {
    name: 'a target starts anew',
    run: async site => site.restartTarget(pickTarget(site)),
  },
];

function pickDaemon({daemons, random}: SoakEnvironment): DaemonProcess {
  return daemons[nextInteger(random, daemons.length)]!;
}

function pickTarget({fleet, random}: SoakEnvironment): string {
  const ids = [...fleet.targets.keys()];
  return ids[nextInteger(random, ids.length)]!;
}

/** Another fault may have started it meanwhile. */
async function restart(daemon: DaemonProcess, after: number): Promise<void> {
  await pause(after);
  if (!daemon.isRunning) {
    daemon.start();
  }
}

function pause(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
