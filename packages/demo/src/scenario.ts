/** What happens in the demonstration, step by step. */
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
const WAIT_SECONDS = 10;
const STEP_MS = 1_500;
const OUTAGE_MS = 6_000;

/** What the demonstration saw. */
export interface ScenarioResult {
  finalJobs: JobView[];
  runs: RunEvent[];
  promiseResults: PromiseResult[];
  /** Time from the kill of a scheduler until its domain had another, in milliseconds. */
  takeoverMs: number;
}

/** Runs every step; resolves when each job has its answer. */
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
    calls.push(...jobs.map(draft => followJob(cluster, draft)));
  };
  printLine(`submitting ${JOBS_PER_STEP} jobs to six entry instances`);
  submit('calm');
  await pause(STEP_MS);
  const takeoverMs = await killScheduler(cluster, () => submit('kill'));
  const outage = await takeDomainOut(cluster, () => submit('out'));
  submit('back');
  printLine('waiting for every answer');
  const answers = new Map(await Promise.all(calls));
  const runs = await readRuns(cluster.targetUrls.values());
  const verdicts = checkPromises({
    drafts,
    finalJobs: answers,
    runs,
    outOfServicePeriods: [outage],
  });
  return {
    finalJobs: [...answers.values()],
    runs,
    promiseResults: verdicts,
    takeoverMs,
  };
}

/** Submits and waits, as a caller does who asks again with the same request id. */
async function followJob(
  {api}: Cluster,
  draft: JobDraft,
): Promise<[string, JobView]> {
  let answer = await api.submit(draft, WAIT_SECONDS);
  while (answer.status === 202) {
    answer = await api.submit(draft, WAIT_SECONDS);
  }
  return [draft.requestId, answer.body];
}

/** Kills the scheduler of the first domain while jobs arrive, and replaces its instance. */
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
  printLine(`${victim.instance} was replaced by a fresh process`);
  return takeoverMs;
}

/** Takes the second domain out of service while jobs arrive, and brings it back. */
async function takeDomainOut(
  {api}: Cluster,
  submit: () => void,
): Promise<OutOfServicePeriod> {
  const domain = DOMAINS[1];
  printLine(`taking ${domain} out of service`);
  await api.setDomainState(domain, 'drain');
  const from = Date.now();
  submit();
  await pause(OUTAGE_MS);
  const until = Date.now();
  await api.setDomainState(domain, 'restore');
  printLine(`${domain} is back in service`);
  return {domain, from, until};
}

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
