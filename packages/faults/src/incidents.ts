/** Random actions of callers and operators and random faults, chosen by a seed. */
import {type Random, nextInteger} from '@galenavalve/shared';
import {DOMAINS} from './instance.js';
import {
  type SimulatedCluster,
  createDomain,
  createRequest,
  createTarget,
  listTargets,
} from './simulated_cluster.js';

/** Applies one incident to a cluster and returns its description for the trace. */
type Incident = (
  cluster: SimulatedCluster,
  random: Random,
  index: number,
) => string;

/** Incidents with their relative weights. */
const WEIGHTED_INCIDENTS: readonly [number, Incident][] = [
  [30, submitRequest],
  [4, cancelRequests],
  [4, killInstance],
  [6, restartInstance],
  [6, pauseInstance],
  [3, claimDomain],
  [4, toggleLogConnection],
  [3, startLogOutage],
  [8, endLogOutage],
  [5, loseAppendResponses],
  [4, delayAppends],
  [2, loseAppend],
  [10, injectTargetFault],
  [10, clearTargetFaults],
  [3, killTarget],
  [2, failTasksOnTarget],
  [3, drainTarget],
  [4, takeDomainOut],
  [6, restoreService],
  [3, conflictConfiguration],
];

/** Applies a randomly chosen incident and returns its description. `index` makes request ids unique. */
export function applyRandomIncident(
  cluster: SimulatedCluster,
  random: Random,
  index: number,
): string {
  const total = WEIGHTED_INCIDENTS.reduce((sum, [weight]) => sum + weight, 0);
  let choice = nextInteger(random, total);
  for (const [weight, incident] of WEIGHTED_INCIDENTS) {
    choice -= weight;
    if (choice < 0) {
      return incident(cluster, random, index);
    }
  }
  return '';
}

function submitRequest(
  cluster: SimulatedCluster,
  random: Random,
  index: number,
): string {
  const tasks = 1 + nextInteger(random, 3);
  const request = createRequest(`r${index}`, cluster.clock.wallTime(), {
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
    pick(random, [...cluster.instances.keys()]),
  );
  void cluster.submit(request, entries);
  return `submit r${index} (${tasks} tasks)`;
}

function cancelRequests(cluster: SimulatedCluster, random: Random): string {
  const entry = pick(random, [...cluster.instances.keys()]);
  const share = random.next();
  for (const observed of cluster.history.requests.values()) {
    if (random.next() < share) {
      void cluster.cancel(observed, entry);
    }
  }
  return `cancel some requests through ${entry}`;
}

function killInstance(cluster: SimulatedCluster, random: Random): string {
  const name = pick(random, [...cluster.instances.keys()]);
  cluster.instances.get(name)?.kill();
  return `kill ${name}`;
}

function restartInstance(cluster: SimulatedCluster): string {
  const deadInstance = [...cluster.instances.values()].find(
    ({process}) => process.isDead,
  );
  if (deadInstance) {
    cluster.startInstance(deadInstance.name);
  }
  return `restart ${deadInstance?.name ?? 'none'}`;
}

function pauseInstance(cluster: SimulatedCluster, random: Random): string {
  const name = pick(random, [...cluster.instances.keys()]);
  const durationMs = pick(random, [300, 1500, 3000, 9000]);
  cluster.instances.get(name)?.process.pause(durationMs);
  return `pause ${name} for ${durationMs} ms`;
}

function claimDomain(cluster: SimulatedCluster, random: Random): string {
  const name = pick(random, [...cluster.instances.keys()]);
  void cluster.instances.get(name)?.claim();
  return `${name} claims its domain`;
}

function toggleLogConnection(
  cluster: SimulatedCluster,
  random: Random,
): string {
  const name = pick(random, [...cluster.instances.keys()]);
  const process = cluster.instances.get(name)?.process;
  if (process) {
    process.isDisconnectedFromLog = !process.isDisconnectedFromLog;
  }
  return `toggle the log connection of ${name}`;
}

function startLogOutage(cluster: SimulatedCluster, random: Random): string {
  const outage = pick(random, ['refused', 'silent'] as const);
  cluster.log.faults.outage = outage;
  return `log outage: ${outage}`;
}

function endLogOutage(cluster: SimulatedCluster): string {
  cluster.log.faults.outage = 'none';
  for (const {process} of cluster.instances.values()) {
    process.isDisconnectedFromLog = false;
  }
  return 'log recovers';
}

function loseAppendResponses(
  cluster: SimulatedCluster,
  random: Random,
): string {
  cluster.log.faults.lostAnswers = 1 + nextInteger(random, 3);
  return 'lose append responses';
}

function delayAppends(cluster: SimulatedCluster, random: Random): string {
  cluster.log.faults.lateAppends = 1 + nextInteger(random, 2);
  cluster.log.faults.lateBy = pick(random, [1500, 4000, 9000]);
  return `delay appends by ${cluster.log.faults.lateBy} ms`;
}

function loseAppend(cluster: SimulatedCluster): string {
  cluster.log.faults.lostAppends = 1;
  return 'lose an append';
}

function injectTargetFault(cluster: SimulatedCluster, random: Random): string {
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
    {cutFrom: new Set([pick(random, [...cluster.instances.keys()])])},
  ]);
  cluster.targets.setFault(target, fault);
  return `fault of ${target}: ${Object.keys(fault).join(' ')}`;
}

function clearTargetFaults(cluster: SimulatedCluster): string {
  for (const id of listTargets()) {
    cluster.targets.setFault(id, undefined);
    cluster.targets.recover(id);
    cluster.targets.getModel(id).behavior = 'well';
    cluster.setLeaving(id, false);
  }
  return 'targets recover';
}

function killTarget(cluster: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  cluster.targets.kill(target);
  return `kill ${target}`;
}

function failTasksOnTarget(cluster: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  cluster.targets.getModel(target).behavior = 'fails-every-task';
  cluster.history.hadFailingTargets = true;
  return `${target} fails every task`;
}

function drainTarget(cluster: SimulatedCluster, random: Random): string {
  const target = pick(random, listTargets());
  if (random.next() < 0.5) {
    cluster.setLeaving(target, true);
    return `${target} reports that it is leaving`;
  }
  cluster.configure([createTarget(target, 'leaving')]);
  return `operators drain ${target}`;
}

function takeDomainOut(cluster: SimulatedCluster, random: Random): string {
  const domain = pick(random, DOMAINS);
  const isWritten = cluster.configure([createDomain(domain, 'out')]);
  return `take ${domain} out of service: ${isWritten}`;
}

function restoreService(cluster: SimulatedCluster): string {
  const values = [
    ...DOMAINS.map(domain => createDomain(domain)),
    ...listTargets().map(id => createTarget(id)),
  ];
  return `put everything into service: ${cluster.configure(values)}`;
}

/** Two operators change the same entity; the second change is based on an outdated version. */
function conflictConfiguration(
  cluster: SimulatedCluster,
  random: Random,
): string {
  const domain = pick(random, DOMAINS);
  const state = pick(random, ['in-service', 'out']);
  cluster.configure([createDomain(domain, 'out')]);
  cluster.configure([createDomain(domain, state)], 1);
  return `conflicting configuration changes of ${domain}`;
}

function pick<T>(random: Random, choices: readonly T[]): T {
  return choices[nextInteger(random, choices.length)]!;
}
