/** Answers callers: each answer is true when it is given, and given as soon as it is known. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  type Random,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import {
  type Follower,
  type JobEntry,
  type JobSpec,
  type JobState,
  type JobTable,
  type KeyedRecord,
  encodeAccepted,
  encodeCancelled,
  findSpecProblem,
  getJobState,
} from '@galenavalve/workload';
import type {DesiredStateStore, Queue} from './desired_state.js';
import type {RecordAppender} from './record_appender.js';

/** Longest wait for one append; the platform's pages give a few milliseconds as usual, and a hundredfold when it is slow. */
const APPEND_TIMEOUT: Milliseconds = 700;

/** Share of the caller's time limit that may be spent on appends. */
const LIMIT_SHARE = 0.75;

/** Backoff between appends of one request, in milliseconds. */
const RETRY_BASE = 20;
const RETRY_CAP = 200;

/** Appends that were refused are tried this often before the caller is told. */
const MAX_REFUSALS = 3;

/** A log that did not answer for this long is taken as unreachable: its reads answer every second. */
export const LOG_TIMEOUT_MS: Milliseconds = 2200;

/** Longest wait to catch up with the log before a job is called unknown. */
const CATCH_UP_TIMEOUT: Milliseconds = 600;

/** Longest wait for news of a job that is known; what is known is told after that. */
const STATE_TIMEOUT: Milliseconds = 150;

/** Seconds after which a caller should come back when the log is away; outages last seconds. */
const RETRY_AFTER_SECONDS = 1;

/** The answer for a job that is not known to an instance that could not read on. */
const UNREAD: GatewayResponse = {
  kind: 'refused',
  problem: 'the log cannot be read now',
  retryAfterSeconds: RETRY_AFTER_SECONDS,
};

/** Who calls, and what for. */
export interface GatewayRequest {
  queue: Queue;
  /** Absent on public queues. */
  workspace?: string;
  jobId: string;
  /** Time that the caller waits for the answer. */
  timeout: Milliseconds;
}

/** What a caller is told. */
export type GatewayResponse =
  | {kind: 'accepted'}
  | {kind: 'state'; state: JobState}
  | {kind: 'cancelled'}
  /** The job does not exist. */
  | {kind: 'unknown-job'}
  /** The job cannot be accepted as it is; it was not run. */
  | {kind: 'invalid'; problem: string}
  /** Nothing was done and nothing will be. */
  | {kind: 'refused'; problem: string; retryAfterSeconds: number}
  /** It is not known whether it was done; the same request may be sent again. */
  | {kind: 'unresolved'; problem: string};

/** What a gateway works with. */
export interface GatewayDependencies {
  table: JobTable;
  follower: Follower;
  desiredState: DesiredStateStore;
  log: RecordAppender;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** The part of an instance that callers talk to. */
export class Gateway {
  constructor(private readonly parts: GatewayDependencies) {}

  /** Whether this instance can serve: it knows what is wanted, and reaches the log. */
  get isReady(): boolean {
    const {follower, desiredState: desired} = this.parts;
    return (
      follower.isCaughtUp &&
      desired.version !== undefined &&
      this.logAge() < LOG_TIMEOUT_MS
    );
  }

  /** Accepts a job once the log holds it. */
  async submit(call: GatewayRequest, spec: JobSpec): Promise<GatewayResponse> {
    const problem = findSpecProblem(spec);
    if (problem) {
      return {kind: 'invalid', problem};
    }
    if (this.parts.table.find(call.jobId)) {
      return {kind: 'accepted'};
    }
    const record = encodeAccepted(call.jobId, {
      queue: call.queue.name,
      workspace: call.workspace ?? '',
      acceptedAt: this.parts.clock.wallTime(),
      terms: call.queue.terms,
      spec,
    });
    const isDone = () => this.parts.table.find(call.jobId) !== undefined;
    const failure = await this.append(call, record, isDone);
    const answer = failure ?? {kind: 'accepted' as const};
    this.log('submitted', call, answer);
    return answer;
  }

  /** Cancels a job once the log says so. */
  async cancel(call: GatewayRequest): Promise<GatewayResponse> {
    const entry = await this.find(call);
    if ('kind' in entry) {
      this.log('cancel', call, entry);
      return entry;
    }
    if (isEnded(entry)) {
      return {kind: 'cancelled'};
    }
    const record = encodeCancelled(call.jobId);
    const isDone = () =>
      this.parts.table.find(call.jobId)?.isCancelled ?? false;
    const failure = await this.append(call, record, isDone);
    const answer = failure ?? {kind: 'cancelled' as const};
    this.log('cancel', call, answer);
    return answer;
  }

  /** Tells the state of a job. */
  async getState(call: GatewayRequest): Promise<GatewayResponse> {
    const entry = await this.find(call);
    if ('kind' in entry) {
      this.log('state', call, entry);
      return entry;
    }
    const isLogThere = this.logAge() < LOG_TIMEOUT_MS;
    if (!isEnded(entry) && isLogThere) {
      await this.parts.follower.readPending(STATE_TIMEOUT);
    }
    return {kind: 'state', state: getJobState(entry)};
  }

  /** Accepted jobs of a queue of which no task has started. */
  countQueuedJobs(queue: Queue): number {
    return this.parts.table.countQueuedJobs(queue.name);
  }

  /** Looks a job up, catching up with the log before it is called unknown. */
  private async find(
    call: GatewayRequest,
  ): Promise<JobEntry | GatewayResponse> {
    const known = this.ownEntry(call);
    if (known) {
      return known;
    }
    const isLogThere = this.logAge() < LOG_TIMEOUT_MS;
    const isCurrent =
      isLogThere && (await this.parts.follower.readToEnd(CATCH_UP_TIMEOUT));
    // "Unknown" is only true of a log that was read to its end just now.
    return this.ownEntry(call) ?? (isCurrent ? {kind: 'unknown-job'} : UNREAD);
  }

  /** A job of another workspace does not exist for the caller. */
  private ownEntry(call: GatewayRequest): JobEntry | undefined {
    const entry = this.parts.table.find(call.jobId);
    const isForeign =
      entry !== undefined &&
      call.workspace !== undefined &&
      entry.job.workspace !== call.workspace;
    return isForeign ? undefined : entry;
  }

  /** Appends until it is known; the record may be in the log more than once. */
  private async append(
    call: GatewayRequest,
    record: KeyedRecord,
    isDone: () => boolean,
  ): Promise<GatewayResponse | undefined> {
    const {clock, random, log} = this.parts;
    const end = clock.now() + call.timeout * LIMIT_SHARE;
    let isUncertain = false;
    let refusals = 0;
    let problem = 'the log does not answer';
    for (let attempt = 0; clock.now() < end; attempt++) {
      if (this.logAge() >= LOG_TIMEOUT_MS) {
        break;
      }
      const timeout = Math.min(APPEND_TIMEOUT, end - clock.now());
      const outcome = await log.append([record], timeout);
      if (outcome.kind === 'appended' || isDone()) {
        return undefined;
      }
      problem = outcome.problem;
      isUncertain ||= outcome.kind === 'unknown';
      refusals += outcome.kind === 'refused' ? 1 : 0;
      if (refusals >= MAX_REFUSALS) {
        break;
      }
      await clock.sleep(
        computeJitteredBackoff(attempt, RETRY_BASE, RETRY_CAP, random),
      );
    }
    if (isDone()) {
      return undefined;
    }
    return isUncertain
      ? {kind: 'unresolved', problem}
      : {kind: 'refused', problem, retryAfterSeconds: RETRY_AFTER_SECONDS};
  }

  private logAge(): Milliseconds {
    return this.parts.clock.now() - this.parts.follower.lastAnswerAt;
  }

  private log(
    event: string,
    call: GatewayRequest,
    answer: GatewayResponse,
  ): void {
    this.parts.logger.info(event, {
      job: call.jobId,
      queue: call.queue.name,
      workspace: call.workspace,
      config: this.parts.desiredState.version,
      logAgeMs: Math.round(this.logAge()),
      answer,
    });
  }
}

function isEnded(entry: JobEntry): boolean {
  const state = getJobState(entry);
  return state !== 'queued' && state !== 'running';
}
