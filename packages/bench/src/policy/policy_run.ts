/** Drives the decisions of one policy with one stream: arrivals, ends and disturbances in order of time. */
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

/** Accelerators from which a job counts as large. */
const LARGE = 16;

const TICK_SECONDS = 30;
const BAD_TARGET_FAILS_AFTER_SECONDS = 5;
const STOP_SECONDS = 0.2;
const PASS_DELAY_SECONDS = 0.5;

interface TimedEvent {
  at: number;
  order: number;
  apply: () => void;
}

/** One run; `run` gives its figures. */
export class PolicyRun {
  private readonly events = new Heap<TimedEvent>(
    (a, b) => a.at - b.at || a.order - b.order,
  );
  private readonly domains: DomainState[];
  private readonly jobs = new Map<string, JobState>();
  private readonly evidence: FailureTracker;
  private readonly badTargets = new Set<string>();
  private readonly changed = new Set<DomainState>();
  private readonly fragmentation = new TimeIntegral();
  private readonly usefulWork = new TimeIntegral();
  private readonly allowedWork = new TimeIntegral();
  private readonly reclaimSeconds: number[] = [];
  private configuration: Configuration;
  private now = 0;
  private order = 0;
  private isPassDue = false;
  private unfinished = 0;
  private outstanding = 0;
  private wasted = 0;
  private violations = 0;
  private failedJobs = 0;
  private largeWait = 0;

  constructor(
    private readonly policy: Policy,
    private readonly deployment: Deployment,
    private readonly scenario: Scenario,
  ) {
    this.configuration = createDeploymentConfiguration(deployment);
    this.evidence = new FailureTracker(this.configuration.rules);
    this.domains = [...this.configuration.domains.keys()].map(
      id => new DomainState(id, policy, this.configuration),
    );
    this.schedule();
  }

  run(seed: number, boundMean: number): RunFigures {
    while (this.unfinished > 0) {
      const event = this.events.pop()!;
      this.advance(event.at);
      event.apply();
      this.schedulePass();
    }
    return this.toFigures(seed, boundMean);
  }

  // Events

  private schedule(): void {
    for (const stream of this.scenario.jobs) {
      const job = new JobState(stream);
      this.jobs.set(stream.id, job);
      this.unfinished++;
      this.at(stream.arrivalSeconds, () => this.onArrival(job));
    }
    const {domainOut, badTargets} = this.scenario;
    if (domainOut) {
      this.at(domainOut.from, () => this.setDomain('d2', 'out'));
      this.at(domainOut.to, () => this.setDomain('d2', 'in-service'));
    }
    if (badTargets) {
      this.at(badTargets.from, () => {
        badTargets.ids.forEach(id => this.badTargets.add(id));
      });
      this.at(badTargets.to, () => this.badTargets.clear());
    }
    this.at(TICK_SECONDS, () => this.onTick());
  }

  private at(at: number, apply: () => void): void {
    this.events.push({at, order: this.order++, apply});
  }

  private onArrival(job: JobState): void {
    this.outstanding += job.acceleratorCount;
    this.enqueue(job, this.route(job));
  }

  private onTick(): void {
    for (const domain of this.domains) {
      if (domain.queue.size > 0) {
        this.moveFrom(domain);
        this.changed.add(domain);
      }
    }
    this.at(this.now + TICK_SECONDS, () => this.onTick());
  }

  private onFinish(job: JobState, attempt: number): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const {spec: stream, gang} = job;
    this.vacate(job);
    for (const {cells} of this.domains) {
      const {workspace, kind, declaredSeconds, runSeconds: seconds} = stream;
      cells.recordRunTime(workspace, kind, declaredSeconds, seconds);
    }
    gang.assignments.forEach(({target}) =>
      this.evidence.recordSuccess(stream.id, target),
    );
    job.remainingSeconds = 0;
    this.end(job);
  }

  /** A gang that was told to stop has stopped; checkpointable ones kept their progress. */
  private onStopped(job: JobState, attempt: number, isRouted: boolean): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const ran = this.now - job.gang.startedAt / 1000;
    if (job.spec.checkpointable) {
      job.remainingSeconds = Math.max(0.1, job.remainingSeconds - ran);
    } else {
      this.wasted += ran * job.acceleratorCount;
    }
    const domain = this.domainOf(job);
    this.vacate(job);
    this.enqueue(job, isRouted ? this.route(job) : domain);
  }

  private onBadTarget(job: JobState, attempt: number, target: string): void {
    if (job.attempt !== attempt || !job.gang) {
      return;
    }
    const domain = this.domainOf(job);
    this.wasted += BAD_TARGET_FAILS_AFTER_SECONDS * job.acceleratorCount;
    this.vacate(job);
    this.evidence.recordFailure(job.spec.id, target, this.now * 1000);
    this.applyStanding(domain, target);
    if (this.evidence.isJobFailing(job.spec.id)) {
      this.failedJobs++;
      this.end(job);
      return;
    }
    job.avoidTargets = this.evidence.listFailedTargets(job.spec.id);
    this.enqueue(job, domain);
  }

  private applyStanding(domain: DomainState, target: string): void {
    const standing = this.evidence.getQuarantineState(target, this.now * 1000);
    if (standing === 'quarantined') {
      domain.cells.setCondition(target, 'quarantined');
      const until = this.evidence.getQuarantineEnd(target)!;
      this.at(until / 1000, () => this.applyStanding(domain, target));
    } else {
      domain.cells.setCondition(target, 'well');
      this.changed.add(domain);
    }
  }

  private setDomain(id: string, state: 'out' | 'in-service'): void {
    const domains = new Map(this.configuration.domains);
    domains.set(id, {...domains.get(id)!, state});
    this.configuration = {...this.configuration, domains};
    for (const domain of this.domains) {
      domain.cells.configure(this.configuration);
      this.changed.add(domain);
    }
    const domain = this.domains.find(other => other.id === id)!;
    const steps = decideEvacuation(domain.cells, {}, this.now * 1000);
    for (const {jobId, action: step} of steps) {
      if (step === 'checkpoint') {
        this.stop(this.jobs.get(jobId)!, true);
      }
    }
    this.moveFrom(domain);
  }

  // Steps

  private advance(to: number): void {
    const window = this.scenario.domainOut ?? {from: 0, to: STREAM_SECONDS};
    const seconds = Math.min(to, window.to) - Math.max(this.now, window.from);
    if (seconds > 0) {
      const capacity = sum(this.domains, domain =>
        domain.countUsableAccelerators(),
      );
      const busy = sum(this.domains, domain => domain.busyAccelerators);
      this.usefulWork.add(busy, seconds);
      this.allowedWork.add(Math.min(capacity, this.outstanding), seconds);
    }
    if (this.now < STREAM_SECONDS) {
      const fragmented = sum(
        this.domains,
        domain => domain.fragmentedAccelerators,
      );
      this.fragmentation.add(fragmented, to - this.now);
    }
    this.now = to;
  }

  /** A scheduler decides a moment after a change, for all changes of that moment. */
  private schedulePass(): void {
    if (this.changed.size > 0 && !this.isPassDue) {
      this.isPassDue = true;
      this.at(this.now + PASS_DELAY_SECONDS, () => this.decide());
    }
  }

  private decide(): void {
    this.isPassDue = false;
    for (const domain of this.changed) {
      this.pass(domain);
      this.violations += domain.countViolations(this.now);
      domain.measureFragmentation();
    }
    this.changed.clear();
  }

  private pass(domain: DomainState): void {
    const {cells, policy} = domain;
    const decisions = policy.decide(
      cells,
      domain.listWaitingJobs(),
      this.now * 1000,
    );
    for (const {victims, forJob, reason} of decisions.reclaims) {
      if (reason.code === 'preempted-reclaim') {
        this.jobs.get(forJob)!.reclaimSince ??= this.now;
      }
      victims.forEach(id => this.stop(this.jobs.get(id)!, false));
    }
    for (const {jobId, assignments, guaranteed} of decisions.placements) {
      const job = this.jobs.get(jobId)!;
      job.gang = {
        ...job.toWaitingJob(),
        assignments,
        guaranteed,
        startedAt: this.now * 1000,
        savedAt: this.now * 1000,
        stopping: false,
      };
      this.start(job, domain);
    }
  }

  private start(job: JobState, domain: DomainState): void {
    domain.start(job, job.gang!);
    if (job.reclaimSince !== undefined) {
      this.reclaimSeconds.push(this.now - job.reclaimSince);
      job.reclaimSince = undefined;
    }
    const attempt = ++job.attempt;
    if (attempt === 1 && job.acceleratorCount >= LARGE) {
      const wait = this.now - job.spec.arrivalSeconds;
      this.largeWait = Math.max(this.largeWait, wait);
    }
    const bad = job.gang!.assignments.find(({target}) =>
      this.badTargets.has(target),
    );
    if (bad) {
      const at = this.now + BAD_TARGET_FAILS_AFTER_SECONDS;
      this.at(at, () => this.onBadTarget(job, attempt, bad.target));
    } else {
      const at = this.now + job.remainingSeconds;
      this.at(at, () => this.onFinish(job, attempt));
    }
  }

  private stop(job: JobState, isRouted: boolean): void {
    const {gang, attempt} = job;
    if (!gang || gang.stopping) {
      return;
    }
    gang.stopping = true;
    const seconds = gang.checkpointable
      ? this.configuration.rules.checkpointGraceSeconds
      : STOP_SECONDS;
    const at = this.now + seconds;
    this.at(at, () => this.onStopped(job, attempt, isRouted));
  }

  private vacate(job: JobState): void {
    const domain = this.domainOf(job);
    domain.end(job);
    this.changed.add(domain);
    job.gang = undefined;
  }

  private end(job: JobState): void {
    this.outstanding -= job.acceleratorCount;
    this.unfinished--;
    job.finishedAt = this.now;
  }

  private enqueue(job: JobState, domain: DomainState): void {
    job.domain = domain.id;
    job.arrivedAt = this.now;
    domain.queue.set(job.spec.id, job);
    this.changed.add(domain);
  }

  // Routing

  private route(job: JobState): DomainState {
    const route = chooseDomain(this.summaries(job))!;
    return this.domains.find(({id}) => id === route.domain)!;
  }

  private moveFrom(domain: DomainState): void {
    for (const job of [...domain.queue.values()]) {
      const summaries = this.summaries(job);
      const from = summaries.find(one => one.domain === domain.id)!;
      const arrivedAt = job.arrivedAt * 1000;
      const move = findMove(
        job.toWaitingJob(),
        from,
        summaries,
        arrivedAt,
        this.now * 1000,
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

  private summaries(job: JobState): DomainSummary[] {
    const waiting = job.toWaitingJob();
    return this.domains.map(domain => {
      const {cells} = domain;
      const now = this.now * 1000;
      const backlog = domain.getBacklogSeconds(now);
      const summary = summarizeDomain(cells, backlog, waiting, now);
      if (this.policy.name === 'galenavalve') {
        return summary;
      }
      // The baselines know no shapes: they look at free capacity only.
      const free = cells.getMaxFreeAccelerators(job.spec.gang.adjacency);
      const startOption = free >= job.acceleratorCount ? 'borrowed' : 'none';
      return {...summary, startOption};
    });
  }

  private domainOf(job: JobState): DomainState {
    return this.domains.find(({id}) => id === job.domain)!;
  }

  private toFigures(seed: number, boundMean: number): RunFigures {
    const done = [...this.jobs.values()];
    const completions = done.map(
      job => job.finishedAt! - job.spec.arrivalSeconds,
    );
    const large = completions.filter(
      (_, i) => done[i]!.acceleratorCount >= LARGE,
    );
    const total = sum(
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
        largeP99: computeQuantile(large, 0.99),
      },
      fragmentation: this.fragmentation.mean / total,
      goodput: (this.usefulWork.total - this.wasted) / this.allowedWork.total,
      reclaimSeconds: {p99: computeQuantile(this.reclaimSeconds, 0.99)},
      promiseViolations: this.violations,
      failedJobs: this.failedJobs,
      largeWaitSeconds: this.largeWait,
      boundMean,
    };
  }
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
