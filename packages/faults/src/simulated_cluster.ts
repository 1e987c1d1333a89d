/** The whole system in one process: a log, targets, and the instances of two failure domains. */
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

export const TARGETS_PER_DOMAIN = 3;
const INSTANCES_PER_DOMAIN = 2;
const CAPACITY = {slots: 8, accelerators: 8, processors: 64, memoryMb: 65_536};

/** Silence after which another instance takes over. */
const SUSPECT_MS: Milliseconds = 1600;

/** Time for which a caller waits for one answer. */
const CALLER_TIMEOUT_MS: Milliseconds = 8000;

/** Times that a caller asks again with the same request id. */
const CALLER_TRIES = 3;

/** Errors after which a caller does not know what became of the request. */
const UNKNOWN_CODES = new Set(['outcome-unknown', 'internal']);

/** One world. */
export class SimulatedCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly log = new MemoryLog(this.clock, {appendLatency: 5});
  readonly targets = new MemoryTargets(this.clock);
  readonly audit = new RunAudit();
  readonly history = new ExplorationHistory();
  readonly instances = new Map<string, Instance>();
  /** Folds every record as soon as it is in the log. */
  readonly observer = new LedgerState();
  private readonly memberCounts = new Map<string, number>();
  private readonly unfitSince = new Map<string, Instant>();
  private starts = 0;
  private records = 0;

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

  /** Moves time, in steps in which the domains look for a scheduler. */
  async advance(duration: Milliseconds): Promise<void> {
    const step = 50;
    for (let passed = 0; passed < duration; passed += step) {
      await this.clock.advance(step);
      this.targets.advance();
      this.observe();
      this.elect();
    }
  }

  startInstance(name: string): Instance {
    const domain = name.split('-')[0] ?? '';
    const {clock: baseClock, log, targets, guards} = this;
    const seed = this.seed * 1000 + this.starts++;
    const parts = {name, domain, seed, baseClock, log, targets, guards};
    const instance = new Instance(parts);
    this.instances.set(name, instance);
    instance.start();
    return instance;
  }

  /** Sends a request as a caller does: again with the same id when the answer is missing. */
  async submit(request: JobRequest, entries: readonly string[]): Promise<void> {
    const fact: ObservedRequest = {
      request,
      jobId: '',
      reportedOutcome: 'none',
      wasUnknown: false,
      isCancelled: false,
    };
    this.history.requests.set(request.requestId, fact);
    for (const name of entries.slice(0, CALLER_TRIES)) {
      fact.reportedOutcome = await this.ask(name, fact);
      if (fact.reportedOutcome !== 'unknown') {
        return;
      }
      fact.wasUnknown = true;
    }
  }

  /** Cancels a request through one instance. */
  async cancel(fact: ObservedRequest, entry: string): Promise<void> {
    const instance = this.instances.get(entry);
    const job = this.observer.getJobByRequest(fact.request.requestId);
    if (!instance?.isServing || !job) {
      return;
    }
    fact.isCancelled = true;
    try {
      await cancelJob(instance.context, job.jobId, 'its caller');
    } catch {
      // The caller asks again, or lets the job run.
    }
  }

  /** Appends a configuration change as operators do; false when the log refuses. */
  configure(values: readonly Entity[], baseOffset = 0): boolean {
    if (this.log.faults.outage !== 'none') {
      return false;
    }
    this.observe();
    this.log.write({
      v: 1,
      recordId: `operator-${this.records}`,
      at: this.clock.wallTime(),
      by: 'operator',
      type: 'configured',
      change: {
        changeId: `change-${this.records++}`,
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
    this.observe();
    return true;
  }

  /** Puts everything right: nothing is wrong any more after this. */
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

  listServingInstances(): string[] {
    return [...this.instances.values()]
      .filter(instance => instance.isServing)
      .map(instance => instance.name);
  }

  /** Number of targets of an attempt. */
  getMemberCount(jobId: string, attempt: number): number {
    return this.memberCounts.get(formatLeaseKey({jobId, attempt})) ?? 0;
  }

  private async ask(
    name: string,
    fact: ObservedRequest,
  ): Promise<SubmitOutcome> {
    const instance = this.instances.get(name);
    if (!instance?.isServing) {
      return 'unknown';
    }
    const answer = this.submitTo(instance, fact);
    const timeout = this.clock
      .sleep(CALLER_TIMEOUT_MS)
      .then((): SubmitOutcome => 'unknown');
    return Promise.race([answer, timeout]);
  }

  private async submitTo(
    instance: Instance,
    fact: ObservedRequest,
  ): Promise<SubmitOutcome> {
    try {
      const job = await submitJob(instance.context, fact.request);
      fact.jobId = job.jobId;
      return 'accepted';
    } catch (error) {
      if (!isFailure(error)) {
        throw error;
      }
      return UNKNOWN_CODES.has(error.code) ? 'unknown' : 'not-run';
    }
  }

  /** Folds what is new in the log, and notes what operators took out and brought back. */
  private observe(): void {
    for (const entry of this.log.entries().slice(this.observer.nextOffset)) {
      const {record, accepted} = applyEntry(this.observer, entry);
      this.observer.nextOffset = entry.offset + 1;
      if (record?.type === 'placed' && accepted) {
        const key = formatLeaseKey(record);
        this.memberCounts.set(key, record.assignments.length);
      }
      if (record?.type === 'configured' && accepted) {
        record.change.edits.forEach(({value}) => this.noteService(value));
      }
    }
  }

  private noteService(value: Entity | null): void {
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

  /** Lets an instance claim a domain whose scheduler is silent. */
  private elect(): void {
    const now = this.clock.now();
    for (const domain of DOMAINS) {
      const holder = this.instances.get(
        this.observer.getSchedulerTerm(domain)?.instance ?? '',
      );
      if (holder?.isEligible(now) && holder.scheduler.term) {
        this.unfitSince.set(domain, now);
        continue;
      }
      const since = this.unfitSince.get(domain) ?? -Infinity;
      const isFirst = !this.observer.getSchedulerTerm(domain);
      if (now - since < SUSPECT_MS || !(this.guards.succession || isFirst)) {
        continue;
      }
      const fit = [...this.instances.values()].find(
        instance => instance.domain === domain && instance.isEligible(now),
      );
      this.unfitSince.set(domain, now);
      void fit?.claim();
    }
  }

  private createTargets(): void {
    const {guards, audit} = this;
    for (const id of listTargets()) {
      this.targets.add({
        id,
        capacity: CAPACITY,
        onRun: audit.addEvent,
        guards: guards.targets,
      });
    }
  }
}

/** Names of all targets, such as "d1-t2". */
export function listTargets(): string[] {
  return DOMAINS.flatMap(domain =>
    Array.from({length: TARGETS_PER_DOMAIN}, (_, i) => `${domain}-t${i + 1}`),
  );
}

/** The value of a domain in the configuration. */
export function createDomain(id: string, state = 'in-service'): Entity {
  return entity.parse({kind: 'domain', id, region: 'r1', state});
}

/** The value of a target in the configuration. */
export function createTarget(id: string, state = 'in-service'): Entity {
  const domain = id.split('-')[0];
  const rack = `${domain}-rack1`;
  const endpoint = `http://127.0.0.1:1/targets/${id}`;
  const place = {kind: 'target', id, domain, rack, endpoint, state};
  return entity.parse({...place, ...CAPACITY});
}

/** A request with defaults for what is not given. */
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
  const promise = {level: 'target', count: 1, domain: 'd1'};
  return [
    ...DOMAINS.map(domain => createDomain(domain)),
    ...listTargets().map(id => createTarget(id)),
    entity.parse({kind: 'workspace', id: 'escorts', guarantees: [promise]}),
    entity.parse({kind: 'workspace', id: 'borders'}),
  ];
}
