import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);
const SEEDS = [1, 2, 3];

/** Time within which late commands are carried out and their runs have ended. */
const LATE_MS = 40_000;

interface Case {
  /** Whether the start is sent again and acknowledged, while its first copy is late. */
  isAcknowledged: boolean;
  /** Whether the next incarnation, which instances cannot reach, appears in the registry. */
  isRegistered: boolean;
  isLeaderLost: boolean;
}

/**
 * Starts a task while the command gets no response and is carried out late. Its
 * target restarts with the same id behind a cut; the late command reaches the
 * next incarnation.
 */
async function playLateStart(
  seed: number,
  {isAcknowledged, isRegistered, isLeaderLost}: Case,
): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  // The clocks of the targets are ahead of those of later incarnations.
  await cluster.advance(20_000);
  const {fleet} = cluster;
  fleet.faults.delayedCommands = 1;
  const step = createStep({count: 1, estimateMs: 30_000});
  void cluster.submit(ID, createSpec([step]));
  const findTarget = () =>
    cluster
      .findLeader()
      ?.table.find(ID)
      ?.progress?.read()
      .occurrences[0]?.steps[0]?.[0]?.placedOn?.[0]?.incarnation.split('@')[0];
  await cluster.waitUntil(() => findTarget() !== undefined, 2000);
  const id = findTarget()!;
  await cluster.advance(20);
  fleet.faults.delayedCommands = 0;
  if (isAcknowledged) {
    const hasStarted = () => fleet.targets.get(id)!.runs.size > 0;
    await cluster.waitUntil(hasStarted, 1000);
    await cluster.advance(1200);
  }
  if (isLeaderLost) {
    cluster.killInstance(cluster.findLeader()!.name);
  }
  const {info} = fleet.targets.get(id)!;
  fleet.faults.unreachableTargets.add(id);
  fleet.crashTarget(id);
  fleet.addTarget({...info, born: info.born + 100}, isRegistered);
  await cluster.advance(LATE_MS);
  fleet.faults.unreachableTargets.clear();
  fleet.sendRegistration({...info, born: info.born + 100});
  return cluster;
}

// Guards against a task that runs twice because the next incarnation of its target carries out a late copy of its start.
for (const isAcknowledged of [true, false]) {
  for (const isRegistered of [true, false]) {
    for (const isLeaderLost of [true, false]) {
      const name = [
        isAcknowledged ? 'acknowledged' : 'unanswered',
        isRegistered ? 'registered' : 'unknown',
        isLeaderLost ? 'a lost leader' : 'the same leader',
      ].join(', ');
      t.test(`a late start behind a cut: ${name}`, async t => {
        for (const seed of SEEDS) {
          const values = {isAcknowledged, isRegistered, isLeaderLost};
          const cluster = await playLateStart(seed, values);
          const isDone = () => cluster.getJobState(ID) === 'complete';
          t.ok(await cluster.waitUntil(isDone, 90_000), `seed ${seed}`);
          t.same(cluster.auditor.violations, [], `seed ${seed}`);
          cluster.close();
        }
      });
    }
  }
}
