/** Simulates one policy on one workload stream, with arrivals, ends and injected failures as timed events. */
import type {Configuration} from '@galenavalve/model';
import {
  type DomainSummary,
  type Policy,
  FailureTracker,
  chooseDomain,
  decideEvacuation,
  findMove,
  summarizeDomain,
} from '@galenavalve/placement';
import {Heap} from 'heap-js';
import {type Deployment, createDeploymentConfiguration} from './deployment.js';
import {DomainState} from './domain_state.js';
import {JobState} from './job_state.js';
import {
  type RunFigures,
  TimeIntegral,
  computeMean,
  computeQuantile,
} from './run_figures.js';
import {STREAM_SECONDS, type Scenario} from './scenario.js';

/** Smallest number of accelerators of a large job. */
const LARGE_JOB_ACCELERATORS = 16;

/** Time between two checks for queued jobs to move to another domain. */
const TICK_INTERVAL_SECONDS = 30;
/** Time after which a task fails on a failing target. */
const BAD_TARGET_FAILURE_DELAY_SECONDS = 5;
/** Time that a gang without checkpoints takes to stop. */
const STOP_DURATION_SECONDS = 0.2;
/** Time between a change and the pass that reacts to it. */
const PASS_DELAY_SECONDS = 0.5;

interface TimedEvent {
  atSeconds: number;
  /** Keeps events of the same time in the order in which they were scheduled. */
  sequence: number;
  apply: () => void;
}

/** Run of one policy on one workload stream; an instance is used for a single call of `run`. */
export class PolicyRun {
  private readonly events = new Heap<TimedEvent>(
    (a, b) => a.atSeconds - b.atSeconds || a.sequence - b.sequence,
  );
  private readonly domains: DomainState[];
  private readonly jobs = new Map<string, JobState>();
  private readonly failureTracker: FailureTracker;
  private readonly badTargets = new Set<string>();
  private readonly changedDomains = new Set<DomainState>();
  private readonly fragmentation = new TimeIntegral();
  private readonly usefulWork = new TimeIntegral();
  private readonly attainableWork = new TimeIntegral();
  private readonly reclaimSeconds: number[] = [];
  private configuration: Configuration;
  private nowSeconds = 0;
  private nextEventSequence = 0;
  private isPassScheduled = false;
  private unfinishedJobs = 0;
  private outstandingAccelerators = 0;
  private wastedAcceleratorSeconds = 0;
  private guaranteeViolations = 0;
  private failedJobs = 0;
  private maxLargeWaitSeconds = 0;

  constructor(
    private readonly policy: Policy,
    private readonly deployment: Deployment,
    private readonly scenario: Scenario,
  ) {
    this.configuration = createDeploymentConfiguration(deployment);
    this.failureTracker = new FailureTracker(this.configuration.rules);
    this.domains = [...this.configuration.domains.keys()].map(
      id => new DomainState(id, policy, this.configuration),
    );
    this.scheduleScenarioEvents();
  }

  /** Runs until every job has ended, and returns the figures. */
  run(seed: number, boundMean: number): RunFigures {
    while (this.unfinishedJobs > 0) {
      const event = this.events.pop()!;
      this.advanceTo(event.atSeconds);
      event.apply();
      this.schedulePass();
    }
    return this.createFigures(seed, boundMean);
  }

  // Events

  private scheduleScenarioEvents(): void {
    for (const spec of this.scenario.jobs) {
      const job = new JobState(spec);
      this.jobs.set(spec.id, job);
      this.unfinishedJobs++;
      this.scheduleEvent(spec.arrivalSeconds, () => this.onArrival(job));
    }
    const {domainOut, badTargets} = this.scenario;
    if (domainOut) {
      this.scheduleEvent(domainOut.from, () =>
        this.setDomainState('d2', 'out'),
      );
      this.scheduleEvent(domainOut.to, () =>
        this.setDomainState('d2', 'in-service'),
      );
    }
    if (badTargets) {
      this.scheduleEvent(badTargets.from, () => {
        badTargets.ids.forEach(id => this.badTargets.add(id));
      });
      this.scheduleEvent(badTargets.to, () => this.badTargets.clear());
    }
    this.scheduleEvent(TICK_INTERVAL_SECONDS, () => this.onTick());
  }

  private scheduleEvent(atSeconds: number, apply: () => void): void {
    this.events.push({
      atSeconds,
      sequence: this.nextEventSequence++,
      apply,
    });
  }

  private onArrival(job: JobState): void {
    this.outstandingAccelerators += job.acceleratorCount;
    this.enqueue(job, this.chooseJobDomain(job));
  }

  private onTick(): void {
    for (const domain of this.domains) {
      if (domain.queue.size > 0) {
        this.moveQueuedJobs(domain);
        this.changedDomains.add(domain);
      }
    }
    this.scheduleEvent(this.nowSeconds + TICK_INTERVAL_SECONDS, () =>
      this.onTick(),
    );
  }

  private onFinish(job: JobState, attempt: number): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const {spec, gang} = job;
    this.removeGang(job);
    for (const {cells} of this.domains) {
      const {workspace, kind, declaredSeconds, runSeconds} = spec;
      cells.recordRunTime(workspace, kind, declaredSeconds, runSeconds);
    }
    gang.assignments.forEach(({target}) =>
      this.failureTracker.recordSuccess(spec.id, target),
    );
    job.remainingSeconds = 0;
    this.completeJob(job);
  }

  /** Handles the end of a stop; the progress of checkpointable gangs is kept, other progress is lost. */
  private onStopped(job: JobState, attempt: number, isRouted: boolean): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const ranSeconds = this.nowSeconds - job.gang.startedAt / 1000;
    if (job.spec.checkpointable) {
      job.remainingSeconds = Math.max(0.1, job.remainingSeconds - ranSeconds);
    } else {
      this.wastedAcceleratorSeconds += ranSeconds * job.acceleratorCount;
    }
    const domain = this.getDomain(job);
    this.removeGang(job);
    this.enqueue(job, isRouted ? this.chooseJobDomain(job) : domain);
  }

  private onBadTarget(job: JobState, attempt: number, target: string): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const domain = this.getDomain(job);
    this.wastedAcceleratorSeconds +=
      BAD_TARGET_FAILURE_DELAY_SECONDS * job.acceleratorCount;
    this.removeGang(job);
    this.failureTracker.recordFailure(
      job.spec.id,
      target,
      this.nowSeconds * 1000,
    );
    this.applyQuarantineState(domain, target);
    if (this.failureTracker.isJobFailing(job.spec.id)) {
      this.failedJobs++;
      this.completeJob(job);
      return;
    }
    job.avoidTargets = this.failureTracker.listFailedTargets(job.spec.id);
    this.enqueue(job, domain);
  }

  private applyQuarantineState(domain: DomainState, target: string): void {
    const quarantineState = this.failureTracker.getQuarantineState(
      target,
      this.nowSeconds * 1000,
    );
    if (quarantineState === 'quarantined') {
      domain.cells.setCondition(target, 'quarantined');
      const untilMs = this.failureTracker.getQuarantineEnd(target)!;
      this.scheduleEvent(untilMs / 1000, () =>
        this.applyQuarantineState(domain, target),
      );
    } else {
      domain.cells.setCondition(target, 'well');
      this.changedDomains.add(domain);
    }
  }

  private setDomainState(id: string, state: 'out' | 'in-service'): void {
    const domains = new Map(this.configuration.domains);
    domains.set(id, {...domains.get(id)!, state});
    this.configuration = {...this.configuration, domains};
    for (const domain of this.domains) {
      domain.cells.configure(this.configuration);
      this.changedDomains.add(domain);
    }
    const domain = this.domains.find(other => other.id === id)!;
    const steps = decideEvacuation(domain.cells, {}, this.nowSeconds * 1000);
    for (const {jobId, action: step} of steps) {
      if (step === 'checkpoint') {
        this.stopJob(this.jobs.get(jobId)!, true);
      }
    }
    this.moveQueuedJobs(domain);
  }

  // Simulation steps

  private advanceTo(toSeconds: number): void {
    const window = this.scenario.domainOut ?? {from: 0, to: STREAM_SECONDS};
    const seconds =
      Math.min(toSeconds, window.to) - Math.max(this.nowSeconds, window.from);
    if (seconds > 0) {
      const capacity = sum(this.domains, domain =>
        domain.countUsableAccelerators(),
      );
      const busy = sum(this.domains, domain => domain.busyAccelerators);
      this.usefulWork.add(busy, seconds);
      this.attainableWork.add(
        Math.min(capacity, this.outstandingAccelerators),
        seconds,
      );
    }
    if (this.nowSeconds < STREAM_SECONDS) {
      const fragmented = sum(
        this.domains,
        domain => domain.fragmentedAccelerators,
      );
      this.fragmentation.add(fragmented, toSeconds - this.nowSeconds);
    }
    this.nowSeconds = toSeconds;
  }

  /** Schedules one pass shortly after a change, so that the pass covers all changes until then. */
  private schedulePass(): void {
    if (this.changedDomains.size > 0 && !this.isPassScheduled) {
      this.isPassScheduled = true;
      this.scheduleEvent(this.nowSeconds + PASS_DELAY_SECONDS, () =>
        this.runPasses(),
      );
    }
  }

  private runPasses(): void {
    this.isPassScheduled = false;
    for (const domain of this.changedDomains) {
      this.runPass(domain);
      this.guaranteeViolations += domain.countViolations(this.nowSeconds);
      domain.measureFragmentation();
    }
    this.changedDomains.clear();
  }

  private runPass(domain: DomainState): void {
    const {cells, policy} = domain;
    const decisions = policy.decide(
      cells,
      domain.listWaitingJobs(),
      this.nowSeconds * 1000,
    );
    for (const {victims, forJob, reason} of decisions.reclaims) {
      if (reason.code === 'preempted-reclaim') {
        this.jobs.get(forJob)!.reclaimSince ??= this.nowSeconds;
      }
      victims.forEach(id => this.stopJob(this.jobs.get(id)!, false));
    }
    for (const {jobId, assignments, guaranteed} of decisions.placements) {
      const job = this.jobs.get(jobId)!;
      job.gang = {
        ...job.toWaitingJob(),
        assignments,
        guaranteed,
        startedAt: this.nowSeconds * 1000,
        savedAt: this.nowSeconds * 1000,
        stopping: false,
      };
      this.startJob(job, domain);
    }
  }

  private startJob(job: JobState, domain: DomainState): void {
    domain.start(job, job.gang!);
    if (job.reclaimSince !== undefined) {
      this.reclaimSeconds.push(this.nowSeconds - job.reclaimSince);
      job.reclaimSince = undefined;
    }
    const attempt = ++job.attempt;
    if (attempt === 1 && job.acceleratorCount >= LARGE_JOB_ACCELERATORS) {
      const waitSeconds = this.nowSeconds - job.spec.arrivalSeconds;
      this.maxLargeWaitSeconds = Math.max(
        this.maxLargeWaitSeconds,
        waitSeconds,
      );
    }
    const badAssignment = job.gang!.assignments.find(({target}) =>
      this.badTargets.has(target),
    );
    if (badAssignment) {
      const atSeconds = this.nowSeconds + BAD_TARGET_FAILURE_DELAY_SECONDS;
      this.scheduleEvent(atSeconds, () =>
        this.onBadTarget(job, attempt, badAssignment.target),
      );
    } else {
      const atSeconds = this.nowSeconds + job.remainingSeconds;
      this.scheduleEvent(atSeconds, () => this.onFinish(job, attempt));
    }
  }

  private stopJob(job: JobState, isRouted: boolean): void {
    const {gang, attempt} = job;
    if (!gang || gang.stopping) {
      return;
    }
    gang.stopping = true;
    const seconds = gang.checkpointable
      ? this.configuration.rules.checkpointGraceSeconds
      : STOP_DURATION_SECONDS;
    const atSeconds = this.nowSeconds + seconds;
    this.scheduleEvent(atSeconds, () => this.onStopped(job, attempt, isRouted));
  }

  private removeGang(job: JobState): void {
    const domain = this.getDomain(job);
    domain.end(job);
    this.changedDomains.add(domain);
    job.gang = undefined;
  }

  private completeJob(job: JobState): void {
    this.outstandingAccelerators -= job.acceleratorCount;
    this.unfinishedJobs--;
    job.finishedAt = this.nowSeconds;
  }

  private enqueue(job: JobState, domain: DomainState): void {
    job.domain = domain.id;
    job.arrivedAt = this.nowSeconds;
    domain.queue.set(job.spec.id, job);
    this.changedDomains.add(domain);
  }

  // Routing

  private chooseJobDomain(job: JobState): DomainState {
    const route = chooseDomain(this.summarizeDomains(job))!;
    return this.domains.find(({id}) => id === route.domain)!;
  }

  private moveQueuedJobs(domain: DomainState): void {
    for (const job of [...domain.queue.values()]) {
      const summaries = this.summarizeDomains(job);
      const currentSummary = summaries.find(one => one.domain === domain.id)!;
      const arrivedAtMs = job.arrivedAt * 1000;
      const move = findMove(
        job.toWaitingJob(),
        currentSummary,
        summaries,
        arrivedAtMs,
        this.nowSeconds * 1000,
      );
      if (move) {
        domain.queue.delete(job.spec.id);
        this.enqueue(
          job,
          this.domains.find(({id}) => id === move.to)!,
        );
      }
    }
  }

  private summarizeDomains(job: JobState): DomainSummary[] {
    const waiting = job.toWaitingJob();
    return this.domains.map(domain => {
      const {cells} = domain;
      const nowMs = this.nowSeconds * 1000;
      const backlog = domain.getBacklogSeconds(nowMs);
      const summary = summarizeDomain(cells, backlog, waiting, nowMs);
      if (this.policy.name === 'galenavalve') {
        return summary;
      }
      // The baseline policies consider free capacity alone, not the shape of a gang.
      const free = cells.getMaxFreeAccelerators(job.spec.gang.adjacency);
      const startOption = free >= job.acceleratorCount ? 'borrowed' : 'none';
      return {...summary, startOption};
    });
  }

  private getDomain(job: JobState): DomainState {
    return this.domains.find(({id}) => id === job.domain)!;
  }

  private createFigures(seed: number, boundMean: number): RunFigures {
    const finishedJobs = [...this.jobs.values()];
    const completions = finishedJobs.map(
      job => job.finishedAt! - job.spec.arrivalSeconds,
    );
    const largeCompletions = completions.filter(
      (_, i) => finishedJobs[i]!.acceleratorCount >= LARGE_JOB_ACCELERATORS,
    );
    const totalAccelerators = sum(
      [...this.configuration.targets.values()],
      target => target.accelerators,
    );
    return {
      deployment: this.deployment.name,
      policy: this.policy.name,
      scenario: this.scenario.name,
      seed,
      completionSeconds: {
        mean: computeMean(completions),
        p50: computeQuantile(completions, 0.5),
        p99: computeQuantile(completions, 0.99),
        largeP99: computeQuantile(largeCompletions, 0.99),
      },
      fragmentation: this.fragmentation.mean / totalAccelerators,
      goodput:
        (this.usefulWork.total - this.wastedAcceleratorSeconds) /
        this.attainableWork.total,
      reclaimSeconds: {p99: computeQuantile(this.reclaimSeconds, 0.99)},
      promiseViolations: this.guaranteeViolations,
      failedJobs: this.failedJobs,
      largeWaitSeconds: this.maxLargeWaitSeconds,
      boundMean,
    };
  }
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
