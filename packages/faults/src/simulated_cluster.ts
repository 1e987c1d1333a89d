/**
 * Simulated cluster: a log, targets and the instances of two failure domains in
 * one process and in virtual time.
 */
import {submitJob, cancelJob} from '@galenavalve/daemon';
import {LedgerState, MemoryLog, applyEntry} from '@galenavalve/ledger';
import {
  type Entity,
  type JobRequest,
  entity,
  jobRequest,
  getEntityKey,
} from '@galenavalve/model';
import {
  type Instant,
  ManualClock,
  type Milliseconds,
  isFailure,
} from '@galenavalve/shared';
import {MemoryTargets, RunAudit, formatLeaseKey} from '@galenavalve/targets';
import {
  type SubmitOutcome,
  ExplorationHistory,
  type ObservedRequest,
} from './exploration_history.js';
import type {Guards} from './guards.js';
import {DOMAINS, Instance} from './instance.js';

/** Number of targets of each failure domain. */
export const TARGETS_PER_DOMAIN = 3;
const INSTANCES_PER_DOMAIN = 2;
const TARGET_CAPACITY = {
  slots: 8,
  accelerators: 8,
  processors: 64,
  memoryMb: 65_536,
};

/** Time without an eligible scheduler after which another instance claims its domain. */
const SUSPECT_MS: Milliseconds = 1600;

/** Time for which a caller waits for one response. */
const CALLER_TIMEOUT_MS: Milliseconds = 8000;

/** Number of times that a caller submits a request with the same id, the first included. */
const CALLER_ATTEMPTS = 3;

/** Error codes that leave the outcome of a submission unknown. */
const UNKNOWN_OUTCOME_CODES = new Set(['outcome-unknown', 'internal']);

/** Simulated cluster; its clock advances only through `advance`. */
export class SimulatedCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new MemoryLog(this.clock, {appendLatency: 5});
  readonly targets = new MemoryTargets(this.clock);
  /** Starts and ends of tasks on all targets. */
  readonly audit = new RunAudit();
  readonly history = new ExplorationHistory();
  /** Latest process of each instance, by name. */
  readonly instances = new Map<string, Instance>();
  /** State with every record of the log applied, independent of the instances. */
  readonly observer = new LedgerState();
  /** Number of targets of each attempt, by lease key. */
  private readonly memberCounts = new Map<string, number>();
  /** Latest instant at which the domain had an eligible scheduler or was claimed, by domain. */
  private readonly lastEligibleAt = new Map<string, Instant>();
  private startCount = 0;
  private changeCount = 0;

  constructor(
    private readonly seed: number,
    readonly guards: Guards,
  ) {
    this.createTargets();
    this.configure(createEntities());
    for (const domain of DOMAINS) {
      for (let index = 1; index <= INSTANCES_PER_DOMAIN; index++) {
        this.startInstance(`${domain}-i${index}`);
      }
    }
  }

  // Commands

  /** Advances virtual time in steps of 50 ms; after each, domains without a scheduler get a new one. */
  async advance(durationMs: Milliseconds): Promise<void> {
    const stepMs = 50;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      await this.clock.advance(stepMs);
      this.targets.advance();
      this.applyNewEntries();
      this.replaceSilentSchedulers();
    }
  }

  /** Starts a new process of the instance, which replaces the earlier one. */
  startInstance(name: string): Instance {
    const domain = name.split('-')[0] ?? '';
    const {clock: baseClock, log, targets, guards} = this;
    const seed = this.seed * 1000 + this.startCount++;
    const options = {name, domain, seed, baseClock, log, targets, guards};
    const instance = new Instance(options);
    this.instances.set(name, instance);
    instance.start();
    return instance;
  }

  /** Submits a request as a caller does: retries with the same id while the outcome is unknown. */
  async submit(request: JobRequest, entries: readonly string[]): Promise<void> {
    const observed: ObservedRequest = {
      request,
      jobId: '',
      reportedOutcome: 'none',
      wasUnknown: false,
      isCancelled: false,
    };
    this.history.requests.set(request.requestId, observed);
    for (const name of entries.slice(0, CALLER_ATTEMPTS)) {
      observed.reportedOutcome = await this.submitWithTimeout(name, observed);
      if (observed.reportedOutcome !== 'unknown') {
        return;
      }
      observed.wasUnknown = true;
    }
  }

  /** Cancels a request through one instance; does nothing if the instance does not serve or the job is not recorded. */
  async cancel(observed: ObservedRequest, entry: string): Promise<void> {
    const instance = this.instances.get(entry);
    const job = this.observer.getJobByRequest(observed.request.requestId);
    if (!instance?.isServing || !job) {
      return;
    }
    observed.isCancelled = true;
    try {
      await cancelJob(instance.context, job.jobId, 'its caller');
    } catch {
      // A caller may cancel again or let the job run, so a failure violates no promise.
    }
  }

  /**
   * Appends a configuration change as operators do. The change is based on the
   * current version minus `baseOffset`. Returns false during a log outage.
   */
  configure(values: readonly Entity[], baseOffset = 0): boolean {
    if (this.log.faults.outage !== 'none') {
      return false;
    }
    this.applyNewEntries();
    this.log.write({
      v: 1,
      recordId: `operator-${this.changeCount}`,
      at: this.clock.wallTime(),
      by: 'operator',
      type: 'configured',
      change: {
        changeId: `change-${this.changeCount++}`,
        author: 'operator',
        edits: values.map(value => ({
          entity: getEntityKey(value),
          baseVersion: Math.max(
            0,
            this.observer.getEntityVersion(getEntityKey(value)) - baseOffset,
          ),
          value,
        })),
      },
    });
    this.applyNewEntries();
    return true;
  }

  /** Ends every fault, restarts dead instances and restores the initial configuration. */
  clearFaults(): void {
    Object.assign(this.log.faults, {
      outage: 'none',
      lostAnswers: 0,
      lateAppends: 0,
      lostAppends: 0,
    });
    for (const id of this.targets.listIds()) {
      this.targets.setFault(id, undefined);
      this.targets.recover(id);
      this.targets.getModel(id).behavior = 'well';
      this.setLeaving(id, false);
    }
    for (const [name, instance] of this.instances) {
      instance.process.isDisconnectedFromLog = false;
      if (instance.process.isDead) {
        this.startInstance(name);
      }
    }
    this.configure(createEntities());
  }

  /** Makes a target report that it is leaving, or no longer. */
  setLeaving(target: string, isLeaving: boolean): void {
    this.targets.getModel(target).leaving = isLeaving;
    const now = this.clock.now();
    if (isLeaving) {
      this.history.onOutOfService(`self/${target}`, now);
    } else {
      this.history.onInService(`self/${target}`, now);
    }
  }

  // Queries

  /** Lists the names of the instances that serve callers. */
  listServingInstances(): string[] {
    return [...this.instances.values()]
      .filter(instance => instance.isServing)
      .map(instance => instance.name);
  }

  /** Returns the number of targets of an attempt; 0 when it was not placed. */
  getMemberCount(jobId: string, attempt: number): number {
    return this.memberCounts.get(formatLeaseKey({jobId, attempt})) ?? 0;
  }

  private async submitWithTimeout(
    name: string,
    observed: ObservedRequest,
  ): Promise<SubmitOutcome> {
    const instance = this.instances.get(name);
    if (!instance?.isServing) {
      return 'unknown';
    }
    const outcome = this.submitTo(instance, observed);
    const timeout = this.clock
      .sleep(CALLER_TIMEOUT_MS)
      .then((): SubmitOutcome => 'unknown');
    return Promise.race([outcome, timeout]);
  }

  private async submitTo(
    instance: Instance,
    observed: ObservedRequest,
  ): Promise<SubmitOutcome> {
    try {
      const job = await submitJob(instance.context, observed.request);
      observed.jobId = job.jobId;
      return 'accepted';
    } catch (error) {
      if (!isFailure(error)) {
        throw error;
      }
      return UNKNOWN_OUTCOME_CODES.has(error.code) ? 'unknown' : 'not-run';
    }
  }

  /** Applies new log entries to the observer, and records placements and out-of-service periods. */
  private applyNewEntries(): void {
    for (const entry of this.log.entries().slice(this.observer.nextOffset)) {
      const {record, accepted} = applyEntry(this.observer, entry);
      this.observer.nextOffset = entry.offset + 1;
      if (record?.type === 'placed' && accepted) {
        const key = formatLeaseKey(record);
        this.memberCounts.set(key, record.assignments.length);
      }
      if (record?.type === 'configured' && accepted) {
        record.change.edits.forEach(({value}) =>
          this.recordServiceState(value),
        );
      }
    }
  }

  private recordServiceState(value: Entity | null): void {
    if (value?.kind !== 'domain' && value?.kind !== 'target') {
      return;
    }
    const now = this.clock.now();
    if (value.state === 'in-service') {
      this.history.onInService(getEntityKey(value), now);
    } else {
      this.history.onOutOfService(getEntityKey(value), now);
    }
  }

  /** Lets an eligible instance claim each domain whose scheduler is silent. */
  private replaceSilentSchedulers(): void {
    const now = this.clock.now();
    for (const domain of DOMAINS) {
      const current = this.instances.get(
        this.observer.getSchedulerTerm(domain)?.instance ?? '',
      );
      if (current?.isEligible(now) && current.scheduler.term) {
        this.lastEligibleAt.set(domain, now);
        continue;
      }
      const since = this.lastEligibleAt.get(domain) ?? -Infinity;
      const isFirst = !this.observer.getSchedulerTerm(domain);
      if (now - since < SUSPECT_MS || !(this.guards.succession || isFirst)) {
        continue;
      }
      const candidate = [...this.instances.values()].find(
        instance => instance.domain === domain && instance.isEligible(now),
      );
      this.lastEligibleAt.set(domain, now);
      void candidate?.claim();
    }
  }

  private createTargets(): void {
    const {guards, audit} = this;
    for (const id of listTargets()) {
      this.targets.add({
        id,
        capacity: TARGET_CAPACITY,
        onRun: audit.addEvent,
        guards: guards.targets,
      });
    }
  }
}

/** Lists the ids of all targets, such as `d1-t2`. */
export function listTargets(): string[] {
  return DOMAINS.flatMap(domain =>
    Array.from({length: TARGETS_PER_DOMAIN}, (_, i) => `${domain}-t${i + 1}`),
  );
}

/** Creates the configuration entity of a domain. */
export function createDomain(id: string, state = 'in-service'): Entity {
  return entity.parse({kind: 'domain', id, region: 'r1', state});
}

/** Creates the configuration entity of a target. */
export function createTarget(id: string, state = 'in-service'): Entity {
  const domain = id.split('-')[0];
  const rack = `${domain}-rack1`;
  const endpoint = `http://127.0.0.1:1/targets/${id}`;
  const fields = {kind: 'target', id, domain, rack, endpoint, state};
  return entity.parse({...fields, ...TARGET_CAPACITY});
}

/** Creates a request, with defaults for the fields that `changes` omits. */
export function createRequest(
  requestId: string,
  now: number,
  changes: Record<string, unknown> = {},
): JobRequest {
  return jobRequest.parse({
    requestId,
    workspace: 'borders',
    gang: {tasks: 1, perTask: {accelerators: 8}},
    expectedSeconds: 5,
    createdAt: now,
    ...changes,
  });
}

function createEntities(): Entity[] {
  const guarantee = {level: 'target', count: 1, domain: 'd1'};
  return [
    ...DOMAINS.map(domain => createDomain(domain)),
    ...listTargets().map(id => createTarget(id)),
    entity.parse({kind: 'workspace', id: 'escorts', guarantees: [guarantee]}),
    entity.parse({kind: 'workspace', id: 'borders'}),
  ];
}
