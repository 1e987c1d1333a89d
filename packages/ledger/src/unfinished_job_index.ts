/** Unfinished jobs by id, request, domain and phase. */
import type {JobPhase} from '@galenavalve/model';
import {type Job, isActive} from './job.js';

interface DomainJobs {
  queued: Map<string, Job>;
  active: Map<string, Job>;
}

/** The unfinished jobs, and the indexes that follow their changes. */
export class UnfinishedJobIndex {
  private readonly jobs = new Map<string, Job>();
  private readonly byRequest = new Map<string, Job>();
  private readonly domains = new Map<string, DomainJobs>();
  private readonly queuedByWorkspace = new Map<string, number>();
  private readonly unfinishedByWorkspace = new Map<string, number>();
  private readonly activeByTarget = new Map<string, number>();

  get size(): number {
    return this.jobs.size;
  }

  get(jobId: string): Job | undefined {
    return this.jobs.get(jobId);
  }

  getByRequest(requestId: string): Job | undefined {
    return this.byRequest.get(requestId);
  }

  /** Waiting jobs of a domain, in the order in which they began to wait. */
  listQueued(domain: string): Iterable<Job> {
    return this.domains.get(domain)?.queued.values() ?? [];
  }

  /** Placed and running jobs of a domain, in the order in which they were placed. */
  listActive(domain: string): Iterable<Job> {
    return this.domains.get(domain)?.active.values() ?? [];
  }

  /** Domains that have or had unfinished jobs, sorted. */
  listDomains(): string[] {
    return [...this.domains.keys()].sort();
  }

  countQueuedInWorkspace(workspace: string): number {
    return this.queuedByWorkspace.get(workspace) ?? 0;
  }

  countUnfinishedInWorkspace(workspace: string): number {
    return this.unfinishedByWorkspace.get(workspace) ?? 0;
  }

  countUnfinishedInDomain(domain: string): number {
    const jobs = this.domains.get(domain);
    return jobs ? jobs.queued.size + jobs.active.size : 0;
  }

  /** Placed and running jobs that use a target. */
  countActiveOnTarget(target: string): number {
    return this.activeByTarget.get(target) ?? 0;
  }

  add(job: Job): void {
    this.jobs.set(job.jobId, job);
    this.byRequest.set(job.request.requestId, job);
    this.link(job);
  }

  /** Removes a job that ends. */
  remove(job: Job): void {
    this.unlink(job);
    this.jobs.delete(job.jobId);
    this.byRequest.delete(job.request.requestId);
  }

  /** Changes the fields of a job on which the indexes depend. */
  update(
    job: Job,
    fields: Partial<Pick<Job, 'domain' | 'assignments'>> & {phase: JobPhase},
  ): void {
    this.unlink(job);
    Object.assign(job, fields);
    this.link(job);
  }

  private link(job: Job): void {
    const {workspace} = job.request;
    addCount(this.unfinishedByWorkspace, workspace, 1);
    const jobs = this.jobsOf(job.domain);
    if (isActive(job)) {
      jobs.active.set(job.jobId, job);
      this.countTargets(job, 1);
    } else {
      jobs.queued.set(job.jobId, job);
      addCount(this.queuedByWorkspace, workspace, 1);
    }
  }

  private unlink(job: Job): void {
    const {workspace} = job.request;
    addCount(this.unfinishedByWorkspace, workspace, -1);
    const jobs = this.jobsOf(job.domain);
    if (isActive(job)) {
      jobs.active.delete(job.jobId);
      this.countTargets(job, -1);
    } else {
      jobs.queued.delete(job.jobId);
      addCount(this.queuedByWorkspace, workspace, -1);
    }
  }

  private countTargets(job: Job, step: number): void {
    for (const {target} of job.assignments) {
      addCount(this.activeByTarget, target, step);
    }
  }

  private jobsOf(domain: string): DomainJobs {
    let jobs = this.domains.get(domain);
    if (!jobs) {
      jobs = {queued: new Map(), active: new Map()};
      this.domains.set(domain, jobs);
    }
    return jobs;
  }
}

function addCount(
  counts: Map<string, number>,
  key: string,
  step: number,
): void {
  const count = (counts.get(key) ?? 0) + step;
  if (count === 0) {
    counts.delete(key);
  } else {
    counts.set(key, count);
  }
}
