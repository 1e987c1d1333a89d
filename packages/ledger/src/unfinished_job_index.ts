/** Index of the unfinished jobs by id, request, domain and phase. */
import type {JobPhase} from '@galenavalve/model';
import {type Job, isActive} from './job.js';

interface DomainJobs {
  queued: Map<string, Job>;
  active: Map<string, Job>;
}

/** Stores the unfinished jobs, with indexes and counts that are updated with them. */
export class UnfinishedJobIndex {
  private readonly byId = new Map<string, Job>();
  private readonly byRequest = new Map<string, Job>();
  private readonly jobsByDomain = new Map<string, DomainJobs>();
  private readonly queuedByWorkspace = new Map<string, number>();
  private readonly unfinishedByWorkspace = new Map<string, number>();
  private readonly activeByTarget = new Map<string, number>();

  get size(): number {
    return this.byId.size;
  }

  get(jobId: string): Job | undefined {
    return this.byId.get(jobId);
  }

  getByRequest(requestId: string): Job | undefined {
    return this.byRequest.get(requestId);
  }

  /** Lists the queued jobs of a domain, in the order in which they were queued. */
  listQueued(domain: string): Iterable<Job> {
    return this.jobsByDomain.get(domain)?.queued.values() ?? [];
  }

  /** Lists the placed and running jobs of a domain, in the order of their latest phase change. */
  listActive(domain: string): Iterable<Job> {
    return this.jobsByDomain.get(domain)?.active.values() ?? [];
  }

  /** Lists the domains that have or had unfinished jobs, sorted. */
  listDomains(): string[] {
    return [...this.jobsByDomain.keys()].sort();
  }

  countQueuedInWorkspace(workspace: string): number {
    return this.queuedByWorkspace.get(workspace) ?? 0;
  }

  countUnfinishedInWorkspace(workspace: string): number {
    return this.unfinishedByWorkspace.get(workspace) ?? 0;
  }

  countUnfinishedInDomain(domain: string): number {
    const jobs = this.jobsByDomain.get(domain);
    return jobs ? jobs.queued.size + jobs.active.size : 0;
  }

  /** Counts the placed and running jobs that use a target. */
  countActiveOnTarget(target: string): number {
    return this.activeByTarget.get(target) ?? 0;
  }

  add(job: Job): void {
    this.byId.set(job.jobId, job);
    this.byRequest.set(job.request.requestId, job);
    this.addToIndexes(job);
  }

  /** Removes a job that ends. */
  remove(job: Job): void {
    this.removeFromIndexes(job);
    this.byId.delete(job.jobId);
    this.byRequest.delete(job.request.requestId);
  }

  /** Changes fields of a job on which the indexes depend. */
  update(
    job: Job,
    fields: Partial<Pick<Job, 'domain' | 'assignments'>> & {phase: JobPhase},
  ): void {
    this.removeFromIndexes(job);
    Object.assign(job, fields);
    this.addToIndexes(job);
  }

  private addToIndexes(job: Job): void {
    const {workspace} = job.request;
    adjustCount(this.unfinishedByWorkspace, workspace, 1);
    const jobs = this.getOrCreateDomainJobs(job.domain);
    if (isActive(job)) {
      jobs.active.set(job.jobId, job);
      this.adjustTargetCounts(job, 1);
    } else {
      jobs.queued.set(job.jobId, job);
      adjustCount(this.queuedByWorkspace, workspace, 1);
    }
  }

  private removeFromIndexes(job: Job): void {
    const {workspace} = job.request;
    adjustCount(this.unfinishedByWorkspace, workspace, -1);
    const jobs = this.getOrCreateDomainJobs(job.domain);
    if (isActive(job)) {
      jobs.active.delete(job.jobId);
      this.adjustTargetCounts(job, -1);
    } else {
      jobs.queued.delete(job.jobId);
      adjustCount(this.queuedByWorkspace, workspace, -1);
    }
  }

  private adjustTargetCounts(job: Job, delta: number): void {
    for (const {target} of job.assignments) {
      adjustCount(this.activeByTarget, target, delta);
    }
  }

  private getOrCreateDomainJobs(domain: string): DomainJobs {
    let jobs = this.jobsByDomain.get(domain);
    if (!jobs) {
      jobs = {queued: new Map(), active: new Map()};
      this.jobsByDomain.set(domain, jobs);
    }
    return jobs;
  }
}

function adjustCount(
  counts: Map<string, number>,
  key: string,
  delta: number,
): void {
  const count = (counts.get(key) ?? 0) + delta;
  if (count === 0) {
    counts.delete(key);
  } else {
    counts.set(key, count);
  }
}
