/** Handles callers' requests. A response states only what is certain at that time, and is sent as soon as it is known. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  type Random,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import {
  type Caller,
  type Follower,
  type JobEntry,
  type JobMemoryLimit,
  type JobSpec,
  type JobState,
  type JobTable,
  type KeyedRecord,
  type OpenTaskLimit,
  countOpenTasks,
  encodeAccepted,
  encodeCancelled,
  encodeEarlyCancellation,
  findSpecProblem,
  formatEarlyCancellationKey,
  getJobState,
  mayAccess,
} from '@galenavalve/workload';
import type {DesiredStateStore, Queue} from './desired_state.js';
import {findSizeProblem} from './find_size_problem.js';
import type {LeaderPort} from './leader_port.js';
import type {RecordAppender} from './record_appender.js';

/** Timeout of one append. According to the platform, an append usually takes a few milliseconds, and a hundred times as long when the log is slow. */
const APPEND_TIMEOUT_MS: Milliseconds = 700;

/** Share of the caller's timeout that may be spent on appends. */
const APPEND_TIMEOUT_SHARE = 0.75;

/** Bounds of the backoff between appends of one request. */
const RETRY_BASE_MS = 20;
const RETRY_CAP_MS = 200;

/**
 * Number of tasks from which on a job is accepted only if the log has not grown
 * since it was read; above the largest gang, so that few jobs wait for that.
 */
const MIN_CONDITIONAL_TASKS = 600;

/** Number of such attempts after which a job that takes up to half of the limit is accepted although the log grows. */
const MAX_CONDITIONAL_ATTEMPTS = 8;

/** Number of refused appends after which the request fails. */
const MAX_REFUSALS = 3;

/** Time without a response after which the log counts as unreachable; reads return every second if it is reachable. */
export const LOG_TIMEOUT_MS: Milliseconds = 2200;

/** Maximum time to read the log to its end before a job is reported as unknown. */
const CATCH_UP_TIMEOUT_MS: Milliseconds = 600;

/** Maximum time to read pending records of a known job; after that, the last known state is returned. */
const STATE_READ_TIMEOUT_MS: Milliseconds = 150;

/** Limit of cancellations of unknown jobs that the log keeps; several minutes of them at the rate of submissions of the largest cluster. */
const MAX_EARLY_CANCELLATIONS = 10_000;

/** Time after which a caller should retry if the log is unreachable; outages last seconds. */
const RETRY_AFTER_SECONDS = 1;

/** Response for a job that this instance does not know while it cannot read the log to its end. */
const LOG_UNREADABLE_RESPONSE: GatewayResponse = {
  kind: 'refused',
  problem: 'the log cannot currently be read',
  retryAfterSeconds: RETRY_AFTER_SECONDS,
};

/** A caller's request for one job. */
export interface GatewayRequest {
  queue: Queue;
  /** Absent on public queues. */
  workspace?: string;
  jobId: string;
  /** Time in milliseconds that the caller waits for the response. */
  timeout: Milliseconds;
}

/** Response to a caller. */
export type GatewayResponse =
  | {kind: 'accepted'}
  | {kind: 'state'; state: JobState}
  | {kind: 'cancelled'}
  /** The job does not exist. */
  | {kind: 'unknown-job'}
  /** A job that the caller may not access has the id; the caller's job was not accepted. */
  | {kind: 'id-in-use'}
  /** The job's specification is invalid; the job was not accepted. */
  | {kind: 'invalid'; problem: string}
  /** The request was not carried out and will not be. */
  | {kind: 'refused'; problem: string; retryAfterSeconds: number}
  /** It is not known whether the request was carried out; the same request may be sent again. */
  | {kind: 'unresolved'; problem: string};

/** Condition of an append. */
interface AppendCondition {
  /** Offset at which the log must end; undefined if it may end anywhere. */
  endsAt?: number;
}

/** Dependencies of a gateway. */
export interface GatewayDependencies {
  table: JobTable;
  follower: Follower;
  desiredState: DesiredStateStore;
  log: RecordAppender;
  leader: LeaderPort;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Open tasks that the system accepts. */
  openTaskLimit: OpenTaskLimit;
  /** Heap that the jobs themselves may take; no limit unless given. */
  jobMemoryLimit?: JobMemoryLimit;
}

/** The part of an instance that handles callers' requests. */
export class Gateway {
  /** Offset after the newest record that was appended here; the log does not end before it. */
  private appendedEnd = 0;

  constructor(private readonly dependencies: GatewayDependencies) {}

  /** Whether this instance can serve requests: it has a configuration, has caught up with the log and can reach it. */
  get isReady(): boolean {
    const {follower, desiredState} = this.dependencies;
    return (
      follower.isCaughtUp &&
      desiredState.version !== undefined &&
      this.computeLogAge() < LOG_TIMEOUT_MS
    );
  }

  /** Accepts a job once its record is in the log. */
  async submit(
    request: GatewayRequest,
    spec: JobSpec,
  ): Promise<GatewayResponse> {
    const problem = findSpecProblem(spec);
    if (problem) {
      return {kind: 'invalid', problem};
    }
    const known = this.dependencies.table.find(request.jobId);
    if (known) {
      const response: GatewayResponse = mayAccess(toCaller(request), known.job)
        ? {kind: 'accepted'}
        : {kind: 'id-in-use'};
      this.logResponse('submitted', request, response);
      return response;
    }
    const obstacle = this.findSizeProblem(request, spec);
    if (obstacle) {
      this.logResponse('submitted', request, obstacle);
      return obstacle;
    }
    const record = encodeAccepted(request.jobId, {
      queue: request.queue.name,
      workspace: request.workspace ?? '',
      acceptedAt: this.dependencies.clock.wallTime(),
      terms: request.queue.terms,
      spec,
    });
    const isRecorded = () =>
      this.dependencies.table.find(request.jobId) !== undefined;
    const isLarge = countOpenTasks(spec) >= MIN_CONDITIONAL_TASKS;
    const failure = await this.appendWithRetries(
      request,
      record,
      isRecorded,
      isLarge
        ? attempt => this.findCondition(request, spec, attempt)
        : undefined,
    );
    const response = failure ?? {kind: 'accepted' as const};
    this.logResponse('submitted', request, response);
    return response;
  }

  /** Returns the response to a job that, with the open ones, would not fit into `share` of the memory of a leader; undefined if it fits. */
  private findSizeProblem(
    {workspace = ''}: GatewayRequest,
    spec: JobSpec,
    share = 1,
  ): GatewayResponse | undefined {
    const {table, openTaskLimit, jobMemoryLimit} = this.dependencies;
    const limit = {
      total: openTaskLimit.total * share,
      perWorkspace: openTaskLimit.perWorkspace * share,
    };
    const problem = findSizeProblem(
      spec,
      workspace,
      table,
      limit,
      jobMemoryLimit,
    );
    return problem?.kind === 'refused'
      ? {...problem, retryAfterSeconds: RETRY_AFTER_SECONDS}
      : problem;
  }

  /**
   * Reads the log to its end and returns the condition of the append of a large
   * job: large jobs that come at once at several instances must not exceed the
   * limit together.
   */
  private async findCondition(
    request: GatewayRequest,
    spec: JobSpec,
    attempt: number,
  ): Promise<AppendCondition | GatewayResponse> {
    const {follower} = this.dependencies;
    if (!(await follower.readToEnd(CATCH_UP_TIMEOUT_MS))) {
      return LOG_UNREADABLE_RESPONSE;
    }
    const obstacle = this.findSizeProblem(request, spec);
    if (obstacle) {
      return obstacle;
    }
    const isConditional =
      attempt < MAX_CONDITIONAL_ATTEMPTS ||
      this.findSizeProblem(request, spec, 0.5) !== undefined;
    return {endsAt: isConditional ? follower.nextOffset : undefined};
  }

  /** Cancels a job; reports success once the record of the cancellation is in the log. */
  async cancel(request: GatewayRequest): Promise<GatewayResponse> {
    const entry = await this.findEntry(request);
    if ('kind' in entry) {
      const response =
        entry.kind === 'unknown-job'
          ? await this.cancelUnknown(request)
          : entry;
      this.logResponse('cancel', request, response);
      return response;
    }
    if (isEnded(entry)) {
      return {kind: 'cancelled'};
    }
    const record = encodeCancelled(request.jobId);
    const isRecorded = () =>
      this.dependencies.table.find(request.jobId)?.isCancelled ?? false;
    const failure = await this.appendWithRetries(request, record, isRecorded);
    const response = failure ?? {kind: 'cancelled' as const};
    this.logResponse('cancel', request, response);
    return response;
  }

  /**
   * Cancels a job that the log does not have. A submission that got no response,
   * at any instance, may still be appended; the record keeps it from running.
   */
  private async cancelUnknown(
    request: GatewayRequest,
  ): Promise<GatewayResponse> {
    const {table, clock} = this.dependencies;
    const {earlyCancellations} = table;
    if (earlyCancellations.size >= MAX_EARLY_CANCELLATIONS) {
      return {
        kind: 'refused',
        problem: 'too many unknown jobs were cancelled lately',
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      };
    }
    const caller = toCaller(request);
    const key = formatEarlyCancellationKey(request.jobId, caller);
    const record = encodeEarlyCancellation(
      request.jobId,
      caller,
      clock.wallTime(),
    );
    const failure = await this.appendWithRetries(request, record, () =>
      earlyCancellations.has(key),
    );
    return failure ?? {kind: 'unknown-job'};
  }

  /**
   * Returns the state of a job according to the log. During an outage of the log
   * a job that has ended meanwhile is still `running`: what only instances know
   * can be lost with them, and the job would run again. A job is not denied
   * while reads return records late, as those that were appended here show.
   */
  async getState(request: GatewayRequest): Promise<GatewayResponse> {
    const {appendedEnd} = this;
    const entry = await this.findEntry(request);
    if ('kind' in entry) {
      const {table, follower} = this.dependencies;
      // A job of another caller that has the id proves that the job does not exist.
      const isLate =
        follower.nextOffset < appendedEnd && !table.find(request.jobId);
      const response = isLate ? LOG_UNREADABLE_RESPONSE : entry;
      this.logResponse('state', request, response);
      return response;
    }
    const isLogReachable = this.computeLogAge() < LOG_TIMEOUT_MS;
    if (!isEnded(entry) && isLogReachable) {
      await this.dependencies.follower.readPending(STATE_READ_TIMEOUT_MS);
    }
    return {kind: 'state', state: getJobState(entry)};
  }

  /** Counts the accepted jobs of a queue of which no task has started. */
  countQueuedJobs(queue: Queue): number {
    return this.dependencies.table.countQueuedJobs(queue.name);
  }

  /** Finds the job of a request. Reads the log to its end before the job is reported as unknown. */
  private async findEntry(
    request: GatewayRequest,
  ): Promise<JobEntry | GatewayResponse> {
    const knownEntry = this.findVisibleEntry(request);
    if (knownEntry) {
      return knownEntry;
    }
    const isLogReachable = this.computeLogAge() < LOG_TIMEOUT_MS;
    const isReadToEnd =
      isLogReachable &&
      (await this.dependencies.follower.readToEnd(CATCH_UP_TIMEOUT_MS));
    // A job is certain to be unknown only if the log was just read to its end.
    return (
      this.findVisibleEntry(request) ??
      (isReadToEnd ? {kind: 'unknown-job'} : LOG_UNREADABLE_RESPONSE)
    );
  }

  /** Finds the job of a request in the table. For a caller who may not access it, the job does not exist. */
  private findVisibleEntry(request: GatewayRequest): JobEntry | undefined {
    const entry = this.dependencies.table.find(request.jobId);
    return entry && mayAccess(toCaller(request), entry.job) ? entry : undefined;
  }

  /**
   * Appends a record, with retries, until it is known to be in the log; it may be
   * appended more than once. `findCondition` reads the log to its end and returns
   * the condition of an attempt, or why there is none. Returns the response to a
   * failure, or undefined on success.
   */
  private async appendWithRetries(
    request: GatewayRequest,
    record: KeyedRecord,
    isRecorded: () => boolean,
    findCondition?: (
      attempt: number,
    ) => Promise<AppendCondition | GatewayResponse>,
  ): Promise<GatewayResponse | undefined> {
    const {clock, random, log} = this.dependencies;
    const deadline = clock.now() + request.timeout * APPEND_TIMEOUT_SHARE;
    let isUncertain = false;
    /** Whether the log has grown since it was read, perhaps by this record. */
    let hasMoved = false;
    let refusals = 0;
    let problem = 'the log is not responding';
    for (let attempt = 0; clock.now() < deadline; attempt++) {
      if (this.computeLogAge() >= LOG_TIMEOUT_MS) {
        break;
      }
      const condition = await findCondition?.(attempt);
      if (isRecorded()) {
        return undefined;
      }
      if (condition && 'kind' in condition) {
        const isRead = condition !== LOG_UNREADABLE_RESPONSE;
        const isUnresolved = isUncertain || (hasMoved && !isRead);
        return isUnresolved
          ? {kind: 'unresolved', problem: 'the log is not responding'}
          : condition;
      }
      hasMoved = false;
      const timeout = Math.min(
        APPEND_TIMEOUT_MS,
        Math.max(1, deadline - clock.now()),
      );
      const outcome = await log.append([record], timeout, condition?.endsAt);
      if (outcome.kind === 'appended') {
        const {offset} = outcome;
        this.appendedEnd = Math.max(this.appendedEnd, offset + 1);
        this.dependencies.leader.onAppended({...record, offset});
        return undefined;
      }
      if (isRecorded()) {
        return undefined;
      }
      if (outcome.kind === 'moved') {
        hasMoved = true;
        problem = 'the log grows faster than it can be read';
      } else {
        problem = outcome.problem;
        isUncertain ||= outcome.kind === 'unknown';
        refusals += outcome.kind === 'refused' ? 1 : 0;
      }
      if (refusals >= MAX_REFUSALS) {
        break;
      }
      await clock.sleep(
        computeJitteredBackoff(
          hasMoved ? 0 : attempt,
          RETRY_BASE_MS,
          RETRY_CAP_MS,
          random,
        ),
      );
    }
    if (isRecorded()) {
      return undefined;
    }
    return isUncertain || hasMoved
      ? {kind: 'unresolved', problem}
      : {kind: 'refused', problem, retryAfterSeconds: RETRY_AFTER_SECONDS};
  }

  private computeLogAge(): Milliseconds {
    return (
      this.dependencies.clock.now() - this.dependencies.follower.lastResponseAt
    );
  }

  private logResponse(
    event: string,
    request: GatewayRequest,
    response: GatewayResponse,
  ): void {
    this.dependencies.logger.info(event, {
      job: request.jobId,
      queue: request.queue.name,
      workspace: request.workspace,
      config: this.dependencies.desiredState.version,
      logAgeMs: Math.round(this.computeLogAge()),
      answer: response,
    });
  }
}

function toCaller({queue, workspace}: GatewayRequest): Caller {
  return {queue: queue.name, workspace};
}

function isEnded(entry: JobEntry): boolean {
  const state = getJobState(entry);
  return state !== 'queued' && state !== 'running';
}
