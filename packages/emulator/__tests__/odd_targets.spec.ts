import t from 'tap';
import type {TargetInfo} from '@galenavalve/dispatch';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const FAR_FUTURE = Number.MAX_SAFE_INTEGER;
const NOBODY = 'nobody';

/** Entries of another writer beside the target `t0`, whose start time is 1, and `t1`. */
const ODD_ENTRIES = new Map<string, Partial<TargetInfo>>([
  ['another id at its address', {id: 'odd', born: 500}],
  [
    'another id at its address, born in the future',
    {id: 'odd', born: FAR_FUTURE},
  ],
  ['its id and a later birth', {born: 2}],
  ['its id and a birth in the future', {born: FAR_FUTURE}],
  [
    'its id, a later birth and no address of a target',
    {born: 2, address: NOBODY},
  ],
  [
    'its id, a later birth and the address of another',
    {born: 2, address: 'target-1'},
  ],
  ['its id and no address of a target', {address: NOBODY}],
  ['its id and the address of another', {address: 'target-1'}],
  ['its id and an earlier birth', {born: 0, address: NOBODY}],
  ['another id and no address of a target', {id: 'odd', address: NOBODY}],
]);

/** Starts a cluster whose targets all have a run of ten seconds; `events` collects the names of log lines. */
async function startBusyCluster() {
  const events: string[] = [];
  const log = (event: string) => void events.push(event);
  const logger = {debug: log, info: log, warn: log, error: log};
  const cluster = new EmulatedCluster({seed: 1, instances: 3, logger});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  const demand = {cpu: 4000, memoryMb: 8000, accelerators: 8};
  const step = createStep({count: 9, demand, estimateMs: 10_000});
  void cluster.submit(createId(1), createSpec([step]));
  await cluster.advance(2000);
  return {cluster, events};
}

function countRuns(cluster: EmulatedCluster): number {
  const targets = [...cluster.fleet.targets.values()];
  return targets.reduce((sum, {runs}) => sum + runs.size, 0);
}

/** Submits a job that needs all targets and returns whether it is complete in time. */
async function usesAllTargets(cluster: EmulatedCluster): Promise<boolean> {
  const demand = {cpu: 4000, memoryMb: 8000, accelerators: 8};
  const step = createStep({count: 9, demand, isGang: true, estimateMs: 500});
  void cluster.submit(createId(2), createSpec([step]));
  const isComplete = () => cluster.getJobState(createId(2)) === 'complete';
  return cluster.waitUntil(isComplete, 20_000);
}

// Guards against an odd entry that declares a working target as replaced, releases its runs or shuts it out (issue 33).
for (const [kind, values] of ODD_ENTRIES) {
  t.test(`an entry with ${kind} leaves the target and its runs`, async t => {
    const {cluster, events} = await startBusyCluster();
    t.equal(countRuns(cluster), 9);
    const {info} = cluster.fleet.targets.get('t0')!;
    cluster.fleet.sendRegistration({...info, ...values});
    await cluster.advance(5000);
    t.equal(countRuns(cluster), 9);
    t.notOk(events.includes('target-restarted'));
    t.notOk(events.includes('run-lost'));
    t.ok(await usesAllTargets(cluster), 'all targets are in use');
    t.same(cluster.auditor.violations, []);
    cluster.close();
  });

  t.test(`an entry with ${kind} is there at a takeover`, async t => {
    const {cluster} = await startBusyCluster();
    const {info} = cluster.fleet.targets.get('t0')!;
    cluster.fleet.sendRegistration({...info, ...values});
    cluster.killInstance(cluster.findLeader()!.name);
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 10_000);
    await cluster.advance(3000);
    // The worker writes its own entry again.
    cluster.fleet.updateRegistration(info);
    t.ok(await usesAllTargets(cluster), 'all targets are in use');
    t.same(cluster.auditor.violations, []);
    cluster.close();
  });

  t.test(`an entry with ${kind} does not shut out a restart`, async t => {
    const {cluster} = await startBusyCluster();
    const {info} = cluster.fleet.targets.get('t0')!;
    cluster.fleet.sendRegistration({...info, ...values});
    await cluster.advance(1000);
    await cluster.restartTarget('t0');
    t.ok(await usesAllTargets(cluster), 'all targets are in use');
    t.same(cluster.auditor.violations, []);
    cluster.close();
  });
}
