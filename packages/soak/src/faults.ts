/** Faults that the soak test injects from outside the daemons; each ends by itself. */
import {nextInteger} from '@galenavalve/shared';
import type {DaemonProcess} from './daemon_process.js';
import type {SoakEnvironment} from './soak.js';

/** Accelerators of a target whose capacity has not shrunk. */
export const MAX_ACCELERATORS = 8;

/** A kind of fault. */
export interface Fault {
  /** Name of the fault in the report. */
  name: string;
  /** Injects the fault and resolves once it has ended. */
  run(environment: SoakEnvironment): Promise<void>;
}

/** All kinds of faults. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'a daemon is killed',
    run: async environment => {
      const daemon = pickDaemon(environment);
      daemon.signal('SIGKILL');
      await daemon.waitForExit();
      await restartIfStopped(daemon, 500);
    },
  },
  {
    name: 'a daemon is paused beyond its leases',
    run: async environment => {
      const daemon = pickDaemon(environment);
      daemon.signal('SIGSTOP');
      await sleep(1000 + environment.random.next() * 5000);
      daemon.signal('SIGCONT');
    },
  },
  {
    name: 'a daemon is stopped gracefully',
    run: async environment => {
      const daemon = pickDaemon(environment);
      daemon.signal('SIGTERM');
      await daemon.waitForExit();
      await restartIfStopped(daemon, 100);
    },
  },
  {
    name: 'the log refuses requests of an instance',
    run: async environment => {
      const {name} = pickDaemon(environment).config;
      environment.jobLog.faults.busyTo.add(name);
      await sleep(3000);
      environment.jobLog.faults.busyTo.delete(name);
    },
  },
  {
    name: 'the log responds to no instance',
    run: async environment => {
      environment.jobLog.faults.silentTo.add('all');
      await sleep(2000);
      environment.jobLog.faults.silentTo.delete('all');
    },
  },
  {
    name: 'responses of the log are lost, and some appends are executed late',
    run: async environment => {
      Object.assign(environment.jobLog.faults, {
        lostAnswers: 0.3,
        lateAppends: 0.5,
      });
      await sleep(3000);
      Object.assign(environment.jobLog.faults, {
        lostAnswers: 0,
        lateAppends: 0,
      });
    },
  },
  {
    name: 'the log expires its history',
    run: async environment => environment.jobLog.compact(),
  },
  {
    name: 'commands are executed late',
    run: async environment => {
      environment.fleet.faults.delayedCommands = 0.2;
      await sleep(3000);
      environment.fleet.faults.delayedCommands = 0;
    },
  },
  {
    name: 'a target is unreachable',
    run: async environment => {
      const id = pickTarget(environment);
      environment.fleet.faults.unreachableTargets.add(id);
      await sleep(2000 + environment.random.next() * 6000);
      environment.fleet.faults.unreachableTargets.delete(id);
    },
  },
  {
    name: 'a target is restarted',
    run: async environment =>
      environment.restartTarget(pickTarget(environment)),
  },
];

/** Changes of capacity, which are injected beside the other faults. */
export const CAPACITY_FAULTS: readonly Fault[] = [
  {
    name: 'the capacity of a target shrinks',
    run: async environment => {
      const {fleet, random} = environment;
      const id = pickTarget(environment);
      const {capacity} = fleet.targets.get(id)!.info;
      fleet.resizeTarget(id, {
        ...capacity,
        accelerators: nextInteger(random, 5),
      });
      await sleep(3000 + random.next() * 3000);
      fleet.resizeTarget(id, {...capacity, accelerators: MAX_ACCELERATORS});
    },
  },
];

function pickDaemon({daemons, random}: SoakEnvironment): DaemonProcess {
  return daemons[nextInteger(random, daemons.length)]!;
}

function pickTarget({fleet, random}: SoakEnvironment): string {
  const ids = [...fleet.targets.keys()];
  return ids[nextInteger(random, ids.length)]!;
}

/** Starts a daemon after a delay in milliseconds, unless another fault has started it meanwhile. */
async function restartIfStopped(
  daemon: DaemonProcess,
  delay: number,
): Promise<void> {
  await sleep(delay);
  if (!daemon.isRunning) {
    daemon.start();
  }
}

function sleep(duration: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, duration));
}
