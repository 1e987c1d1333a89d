/** Load: hundreds of urgent units of which each has constraints of its own, while other work holds all targets. */
import t from 'tap';
import {decide} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

const TARGETS = 246;
const RUNS_PER_TARGET = 16;

/** Longest pass, in milliseconds of processor time: what a leader can spare without missing heartbeats. */
const MAX_PASS_MS = 1000;

/** Creates targets that are full of runs of lower priority, and an urgent job of `count` single tasks. */
function createLoad(count: number) {
  const targets = Array.from({length: TARGETS}, (_, index) =>
    createTarget(`t${index}`, `r${Math.floor(index / 20)}`, 100),
  );
  const small = {cpu: 4000, memoryMb: 100, accelerators: 0};
  const background = createJob(
    'a',
    createStep({
      count: TARGETS * RUNS_PER_TARGET,
      isGang: false,
      estimateMs: 30_000,
      demand: small,
    }),
    {priority: 2},
  );
  for (const [index, unit] of background.units.entries()) {
    addRun(unit, targets[index % TARGETS]!, 0);
  }
  const urgent = createJob(
    'b',
    createStep({count, isGang: false, demand: {...small, cpu: 8000}}),
    {priority: 0},
  );
  return {urgent, snapshot: createSnapshot([background, urgent], targets)};
}

// Guards against passes that plan for each unit anew which runs to stop, and take a leader out for many seconds.
t.test(
  'a pass is short although hundreds of urgent units have failed, each on another target',
  t => {
    const {urgent, snapshot} = createLoad(300);
    for (const [index, unit] of urgent.units.entries()) {
      unit.progress.failureCount = 1;
      unit.avoidedTargets.add(`t${index}`);
    }
    const before = process.cpuUsage();
    decide(snapshot, 100);
    const {user, system} = process.cpuUsage(before);
    const duration = Math.round((user + system) / 1000);
    t.ok(duration <= MAX_PASS_MS, `the pass took ${duration} ms`);
    t.end();
  },
);
