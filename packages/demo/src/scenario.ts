/** Scenario of the demonstration: submits jobs, kills a scheduler and takes a domain out of service. */
import type {JobView} from '@galenavalve/model';
import {SeededRandom} from '@galenavalve/shared';
import type {Cluster, EntryInstance} from './cluster.js';
import type {JobDraft} from './entry_api.js';
import {DOMAINS} from './deployment.js';
import {
  type OutOfServicePeriod,
  type PromiseResult,
  checkPromises,
} from './promises.js';
import {printLine} from './report.js';
import {type RunEvent, readRuns} from './run_history.js';
import {createJobs} from './workload.js';

const JOBS_PER_STEP = 20;

/** Time for which a call waits for the end of its job. */
const WAIT_SECONDS = 10;

/** Time between the first jobs and the first failure. */
const STEP_MS = 1_500;

/** Time for which the domain is out of service. */
const OUT_OF_SERVICE_MS = 6_000;

/** Result of the scenario. */
export interface ScenarioResult {
  finalJobs: JobView[];
  runs: RunEvent[];
  promiseResults: PromiseResult[];
  /** Time from the kill of a scheduler until its domain had another, in milliseconds. */
  takeoverMs: number;
}

/** Runs the scenario; resolves when every caller has its final response. */
export async function runScenario(
  cluster: Cluster,
  seed: number,
): Promise<ScenarioResult> {
  const random = new SeededRandom(seed);
  const drafts: JobDraft[] = [];
  const calls: Promise<[string, JobView]>[] = [];
  const submit = (prefix: string) => {
    const jobs = createJobs(prefix, JOBS_PER_STEP, random);
    drafts.push(...jobs);
    calls.push(...jobs.map(draft => submitUntilFinished(cluster, draft)));
  };
  printLine(`submitting ${JOBS_PER_STEP} jobs to six entry instances`);
  submit('calm');
  await pause(STEP_MS);
  const takeoverMs = await killScheduler(cluster, () => submit('kill'));
  const outOfServicePeriod = await takeDomainOut(cluster, () => submit('out'));
  submit('back');
  printLine('waiting for the final response to every request');
  const finalJobs = new Map(await Promise.all(calls));
  const runs = await readRuns(cluster.targetUrls.values());
  const promiseResults = checkPromises({
    drafts,
    finalJobs,
    runs,
    outOfServicePeriods: [outOfServicePeriod],
  });
  return {
    finalJobs: [...finalJobs.values()],
    runs,
    promiseResults,
    takeoverMs,
  };
}

/** Submits a job and retries with the same request id until it has ended. */
async function submitUntilFinished(
  {api}: Cluster,
  draft: JobDraft,
): Promise<[string, JobView]> {
  let response = await api.submit(draft, WAIT_SECONDS);
  while (response.status === 202) {
    response = await api.submit(draft, WAIT_SECONDS);
  }
  return [draft.requestId, response.body];
}

/**
 * Kills the scheduler of the first domain while jobs arrive, and restarts its
 * instance. Returns the time until another instance took over, in milliseconds.
 */
async function killScheduler(
  cluster: Cluster,
  submit: () => void,
): Promise<number> {
  const victim = await findScheduler(cluster, DOMAINS[0]);
  printLine(`killing ${victim.instance}, the scheduler of ${victim.domain}`);
  submit();
  await cluster.processes.kill(victim.instance);
  const killedAt = Date.now();
  let successor = victim;
  while (successor.instance === victim.instance) {
    await pause(100);
    successor = await findScheduler(cluster, DOMAINS[0]);
  }
  const takeoverMs = Date.now() - killedAt;
  printLine(`${successor.instance} took over after ${takeoverMs} ms`);
  await cluster.startEntry(victim);
  printLine(`${victim.instance} was restarted`);
  return takeoverMs;
}

/** Takes the second domain out of service while jobs arrive, and restores it. */
async function takeDomainOut(
  {api}: Cluster,
  submit: () => void,
): Promise<OutOfServicePeriod> {
  const domain = DOMAINS[1];
  printLine(`taking ${domain} out of service`);
  await api.setDomainState(domain, 'drain');
  const from = Date.now();
  submit();
  await pause(OUT_OF_SERVICE_MS);
  const until = Date.now();
  await api.setDomainState(domain, 'restore');
  printLine(`${domain} is back in service`);
  return {domain, from, until};
}

/** Waits until a domain has a scheduler and returns its instance. */
async function findScheduler(
  {api, entries}: Cluster,
  domain: string,
): Promise<EntryInstance> {
  for (;;) {
    const {body} = await api.getInventory();
    const name = body.domains.find(({id}) => id === domain)?.scheduler;
    const entry = entries.find(({instance}) => instance === name);
    if (entry) {
      return entry;
    }
    await pause(100);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
