import t from 'tap';
import {
  CrashAttribution,
  DEFAULT_SETTINGS,
  DurationEstimator,
  RunTracker,
  findCrashEvidence,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import type {CommandSender} from '../src/command_sender.js';
import {IncarnationCleanup} from '../src/incarnation_cleanup.js';
import {addRun, createJob, createStep, createTarget} from './fixtures.js';

const MAX_LEASE = DEFAULT_SETTINGS.maxLease;

/** Restarts a target with an unlisted run; returns the number of crashes that are counted. */
function countCrashesAfterRestart(
  drainingSince?: number,
  restarts = 1,
): number | undefined {
  const logger = new SilentLogger();
  const events = {onChange: () => undefined, onStop: () => undefined};
  const tracker = new RunTracker(events, new DurationEstimator(), logger);
  const commands = {stop: async () => undefined} as unknown as CommandSender;
  const crashes = new CrashAttribution(() => undefined, logger);
  const cleanup = new IncarnationCleanup(
    MAX_LEASE,
    tracker,
    commands,
    crashes,
    logger,
  );
  const target = createTarget('a', 'r', 0);
  target.drainingSince = drainingSince;
  const unit = createJob('1', createStep({isGang: false, count: 1})).units[0]!;
  addRun(unit, target, 0);
  let current = target;
  for (let restart = 1; restart <= restarts; restart++) {
    const next = createTarget('a', 'r', restart * 5000);
    cleanup.onReplaced(current, next, restart * 5000);
    current = next;
  }
  return findCrashEvidence(unit, 0)?.count;
}

// Guards against jobs that fail because their targets were taken out of service.
t.test(
  'a target that was draining before it ended has not crashed',
  async t => {
    t.equal(countCrashesAfterRestart(4000), undefined);
    t.equal(countCrashesAfterRestart(), 1);
  },
);

// Guards against crashes that are counted against a run which is only being kept from starting.
t.test(
  'a run that was moved to the next incarnation is not blamed if that one crashes too',
  async t => {
    t.equal(countCrashesAfterRestart(undefined, 3), 1);
  },
);
