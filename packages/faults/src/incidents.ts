/** What callers, operators and faults do to a world, chosen by a seed. */
import {type Random, nextInteger} from '@galenavalve/shared';
import {DOMAINS} from './instance.js';
import {
  type SimulatedCluster,
  createDomain,
  createRequest,
  createTarget,
  listTargets,
} from './simulated_cluster.js';

/** Does one thing to a world, and returns what it did. */
type Incident = (
  world: SimulatedCluster,
  random: Random,
  index: number,
) => string;

/** Incidents with the weight of their choice. */
const incidents: readonly [number, Incident][] = [
  [30, submit],
  [4, cancelWave],
  [4, killInstance],
  [6, restartInstance],
  [6, pauseInstance],
  [3, rivalClaim],
  [4, cutInstance],
  [3, logOutage],
  [8, logRecovery],
  [5, loseLogAnswers],
  [4, delayAppends],
  [2, loseAppends],
  [10, targetFault],
  [10, targetRecovery],
  [3, killTarget],
  [2, badTarget],
  [3, leavingTarget],
  [4, domainOut],
  [6, domainIn],
  [3, configurationRace],
];

/** Chooses an incident and lets it happen. */
export function applyRandomIncident(
  world: SimulatedCluster,
  random: Random,
  index: number,
): string {
  const total = incidents.reduce((sum, [weight]) => sum + weight, 0);
  let choice = nextInteger(random, total);
  for (const [weight, incident] of incidents) {
    choice -= weight;
    if (choice < 0) {
      return incident(world, random, index);
    }
  }
  return '';
}

function submit(
  world: SimulatedCluster,
  random: Random,
  index: number,
): string {
  const tasks = 1 + nextInteger(random, 3);
  const request = createRequest(`r${index}`, world.clock.wallTime(), {
    workspace: pick(random, ['escorts', 'borders']),
    repeatable: random.next() < 0.5,
    checkpointable: random.next() < 0.5,
    gang: {
      tasks,
      perTask: {accelerators: pick(random, [2, 4, 8]), memoryMb: 10},
    },
    payload: {
      durationMs: pick(random, [0, 200, 2000, 8000, 20_000]),
      ...(random.next() < 0.1 && {fail: true}),
    },
  });
  const entries = [0, 1, 2].map(() =>
    pick(random, [...world.instances.keys()]),
  );
  void world.submit(request, entries);
  return `submit r${index} (${tasks} tasks)`;
}

function cancelWave(world: SimulatedCluster, random: Random): string {
  const entry = pick(random, [...world.instances.keys()]);
  const share = random.next();
  for (const fact of world.history.requests.values()) {
    if (random.next() < share) {
      void world.cancel(fact, entry);
    }
  }
  return `cancel wave through ${entry}`;
}

function killInstance(world: SimulatedCluster, random: Random): string {
  const name = pick(random, [...world.instances.keys()]);
  world.instances.get(name)?.kill();
  return `kill ${name}`;
}

function restartInstance(world: SimulatedCluster): string {
  const dead = [...world.instances.values()].find(
    ({process}) => process.isDead,
  );
  if (dead) {
    world.startInstance(dead.name);
  }
  return `restart ${dead?.name ?? 'nobody'}`;
}

function pauseInstance(world: SimulatedCluster, random: Random): string {
  const name = pick(random, [...world.instances.keys()]);
  const length = pick(random, [300, 1500, 3000, 9000]);
  world.instances.get(name)?.process.pause(length);
  return `pause ${name} for ${length} ms`;
}

function rivalClaim(world: SimulatedCluster, random: Random): string {
  const name = pick(random, [...world.instances.keys()]);
  void world.instances.get(name)?.claim();
  return `${name} claims`;
}

function cutInstance(world: SimulatedCluster, random: Random): string {
  const name = pick(random, [...world.instances.keys()]);
  const process = world.instances.get(name)?.process;
  if (process) {
    process.isDisconnectedFromLog = !process.isDisconnectedFromLog;
  }
  return `cut ${name} from the log, or mend it`;
}

function logOutage(world: SimulatedCluster, random: Random): string {
  const outage = pick(random, ['refused', 'silent'] as const);
  world.log.faults.outage = outage;
  return `log outage: ${outage}`;
}

function logRecovery(world: SimulatedCluster): string {
  world.log.faults.outage = 'none';
  for (const {process} of world.instances.values()) {
    process.isDisconnectedFromLog = false;
  }
  return 'log recovery';
}

function loseLogAnswers(world: SimulatedCluster, random: Random): string {
  world.log.faults.lostAnswers = 1 + nextInteger(random, 3);
  return 'lost answers of appends';
}

function delayAppends(world: SimulatedCluster, random: Random): string {
  world.log.faults.lateAppends = 1 + nextInteger(random, 2);
  world.log.faults.lateBy = pick(random, [1500, 4000, 9000]);
  return `appends late by ${world.log.faults.lateBy} ms`;
}

function loseAppends(world: SimulatedCluster): string {
  world.log.faults.lostAppends = 1;
  return 'lost append';
}

function targetFault(world: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  const fault = pick(random, [
    {silent: true},
    {losesAnswers: true},
    {delayMs: 300},
    {delayMs: 3000},
    {silent: true, commands: new Set(['start' as const])},
    {losesAnswers: true, commands: new Set(['start' as const])},
    {losesAnswers: true, commands: new Set(['reserve' as const])},
    {delayMs: 1500, commands: new Set(['start' as const])},
    {cutFrom: new Set([pick(random, [...world.instances.keys()])])},
  ]);
  world.targets.setFault(target, fault);
  return `${target} ${Object.keys(fault).join(' ')}`;
}

function targetRecovery(world: SimulatedCluster): string {
  for (const id of listTargets()) {
    world.targets.setFault(id, undefined);
    world.targets.recover(id);
    world.targets.getModel(id).behavior = 'well';
    world.setLeaving(id, false);
  }
  return 'targets recover';
}

function killTarget(world: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  world.targets.kill(target);
  return `kill ${target}`;
}

function badTarget(world: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  world.targets.getModel(target).behavior = 'fails-every-task';
  world.history.hadFailingTargets = true;
  return `${target} fails every task`;
}

function leavingTarget(world: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  if (random.next() < 0.5) {
    world.setLeaving(target, true);
    return `${target} says that it leaves`;
  }
  world.configure([createTarget(target, 'leaving')]);
  return `operators let ${target} leave`;
}

function domainOut(world: SimulatedCluster, random: Random): string {
  const domain = pick(random, DOMAINS);
  const isDone = world.configure([createDomain(domain, 'out')]);
  return `${domain} out: ${isDone}`;
}

function domainIn(world: SimulatedCluster): string {
  const values = [
    ...DOMAINS.map(domain => createDomain(domain)),
    ...listTargets().map(id => createTarget(id)),
  ];
  return `all in service: ${world.configure(values)}`;
}

/** Two operators change the same entity; the later is based on the version before. */
function configurationRace(world: SimulatedCluster, random: Random): string {
  const domain = pick(random, DOMAINS);
  const state = pick(random, ['in-service', 'out']);
  world.configure([createDomain(domain, 'out')]);
  world.configure([createDomain(domain, state)], 1);
  return `operators race over ${domain}`;
}

function pick<T>(random: Random, choices: readonly T[]): T {
  return choices[nextInteger(random, choices.length)]!;
}
