/** One daemon: starts its loops, serves, and stops without cutting a request. */
import {setMaxListeners} from 'node:events';
import type {FoldResult, SnapshotWriter} from '@galenavalve/ledger';
import type {RecordCache, StateServer} from '@galenavalve/membership';
import {platformTraffic} from '@galenavalve/platform';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {PeerClient, PeerServer} from '@galenavalve/wire';
import {type HttpServer, startHttpServer} from './http/http_server.js';
import type {DaemonContext} from './daemon_context.js';
import {Election} from './roles/election.js';
import {catchUpFromPeers} from './roles/peer_catch_up.js';
import type {ObservableInstanceList} from './roles/observable_instance_list.js';
import {registerPeerHandlers} from './roles/peer_handlers.js';

/** Time between two ticks of the freshness loop. */
const TICK_MS: Milliseconds = 200;

/** Time between two looks at whether a starting daemon is ready. */
const START_POLL_MS: Milliseconds = 25;

/** How long a balancer may still send requests after `/readyz` says no. */
const UNLISTED_MS: Milliseconds = 500;

/** Network parts that only the daemon itself opens and closes. */
export interface DaemonDependencies {
  peerServer: PeerServer;
  peerClient: PeerClient;
  recordCache: RecordCache;
  instanceList: ObservableInstanceList;
  snapshotWriter: SnapshotWriter;
}

/** The daemon of one entry instance. */
export class Daemon {
  private readonly loops = new AbortController();
  private readonly election: Election;
  private running: Promise<unknown>[] = [];
  private http: HttpServer | undefined;
  private stopped: Promise<void> | undefined;
  private states: StateServer | undefined;

  constructor(
    readonly context: DaemonContext,
    private readonly parts: DaemonDependencies,
  ) {
    this.election = new Election(context);
    // Every loop listens to the end of the daemon.
    setMaxListeners(0, this.loops.signal);
    context.follower.onApplied(applied => this.onApplied(applied));
    context.follower.onStateReplaced(() => this.onReplaced());
  }

  /** Port of the HTTP interface. */
  get port(): number | undefined {
    return this.http?.port;
  }

  /** Starts all loops; resolves when the daemon serves. */
  async start(): Promise<void> {
    const {context: node} = this;
    const {signal} = this.loops;
    this.handlePeers();
    await this.parts.peerServer.start();
    this.http = await startHttpServer(node);
    this.keep('mesh', node.mesh.run(signal));
    await this.waitForPeers(signal);
    this.keep('follower', node.follower.run(signal));
    this.keep('writer', node.writer.run(signal));
    this.keep('catch-up', catchUpFromPeers(node, signal));
    this.keep('snapshots', this.parts.snapshotWriter.run(signal));
    this.keep('keeper', node.scheduler.renewLeases(signal));
    this.keep('freshness', this.tickFreshness(signal));
    await this.waitUntilCaughtUp(signal);
    if (node.stage === 'starting') {
      node.stage = 'serving';
      node.logger.info('serving', {
        port: this.http.port,
        offset: node.state.nextOffset,
      });
    }
    this.keep('election', this.election.run(signal));
  }

  /** Stops in order: no new requests, roles handed over, callers answered, loops ended. */
  stop(cause: string): Promise<void> {
    this.stopped ??= this.drain(cause);
    return this.stopped;
  }

  private async drain(cause: string): Promise<void> {
    const {context: node} = this;
    const {clock, settings} = node;
    node.logger.info('stopping', {cause});
    node.stage = 'stopping';
    const deadline = clock.now() + settings.timings.drainMs;
    await clock.sleep(UNLISTED_MS);
    await withDeadline(node.scheduler.waitUntilIdle(), deadline - clock.now());
    node.scheduler.deactivate('a planned stop');
    // Callers that still wait learn where their job stands, and resume
    // elsewhere by their request id.
    node.waiters.close();
    if (this.http) {
      await withDeadline(this.http.close(), deadline - clock.now());
    }
    this.loops.abort();
    await withDeadline(Promise.all(this.running), 1_000);
    this.parts.peerClient.close();
    await this.parts.peerServer.close();
    node.logger.info('stopped', {cause});
  }

  /** A restored state took the place of the folded one. */
  private onReplaced(): void {
    const {context: node} = this;
    node.logger.info('state-replaced', {offset: node.state.nextOffset});
    node.scheduler.deactivate('the state was replaced');
    for (const mirror of node.listProjections()) {
      mirror.rebuild();
    }
    node.waiters.recheck();
  }

  private onApplied(applied: FoldResult): void {
    const {context: node} = this;
    const {record} = applied;
    node.metrics.foldedRecords.inc({
      type: record?.type ?? 'invalid',
      verdict: applied.accepted ? 'accepted' : 'rejected',
    });
    for (const mirror of node.listProjections()) {
      mirror.onApplied(applied);
    }
    this.endHolds(applied);
    this.election.onApplied(applied);
    node.scheduler.onApplied(applied);
    node.waiters.onApplied(applied);
    if (record?.type === 'started' && applied.accepted) {
      this.observeStart(record.jobId);
    }
  }

  /** A hold ends only by a later accepted record about its entity. */
  private endHolds({record, accepted, offset}: FoldResult): void {
    if (record?.type === 'configured' && accepted) {
      for (const {entity} of record.change.edits) {
        this.context.mesh.onEntityAccepted(entity, offset);
      }
    }
  }

  private observeStart(jobId: string): void {
    const job = this.context.state.getJob(jobId);
    if (job?.attempts === 1 && job.startedAt !== undefined) {
      this.context.metrics.submitToStart.observe(
        {urgent: String(job.request.urgent)},
        (job.startedAt - job.submittedAt) / 1000,
      );
    }
  }

  private handlePeers(): void {
    const {context: node} = this;
    this.states = registerPeerHandlers(
      node,
      this.parts.peerServer,
      this.parts.recordCache,
    );
    this.parts.instanceList.addListener(instances => {
      const leaving = instances
        .filter(({role, state}) => role === 'target' && state === 'leaving')
        .filter(({domain}) => domain === node.settings.domain)
        .map(({id}) => id);
      node.scheduler.onTargetsListed(new Set(leaving));
    });
    node.mesh.addReportListener(({report, madeAfter}) => {
      if (madeAfter !== undefined) {
        node.freshness.onPeerReport(report, node.state.nextOffset, madeAfter);
      }
    });
  }

  /** Joins what the follower and the peers know of freshness, and sees pauses. */
  private async tickFreshness(signal: AbortSignal): Promise<void> {
    const {context: node} = this;
    while (!signal.aborted) {
      const now = node.clock.now();
      if (node.freshness.detectPause(now)) {
        node.logger.warn('paused', {
          remedy:
            'the process was paused; starts wait for a new read of the log',
        });
      }
      const readAt = node.follower.getFreshAt();
      if (readAt !== undefined) {
        node.freshness.onRead(readAt);
      }
      node.freshness.onOffsetReached(node.state.nextOffset);
      this.states?.dropUnused(now);
      this.shareBudget(now);
      this.updateMetrics(now);
      await node.clock.sleep(TICK_MS, signal);
    }
  }

  /** The log's appends are shared by all live instances. */
  private shareBudget(now: number): void {
    const {context: node} = this;
    const alive = node.mesh
      .listPeers()
      .filter(({address}) => node.mesh.isAlive(address.instance, now));
    const {appendsPerSecond} = node.settings.limits;
    node.writer.setAppendRate(appendsPerSecond / (alive.length + 1));
  }

  private updateMetrics(now: number): void {
    const {context: node, parts} = this;
    const {metrics} = node;
    metrics.logOffset.set(node.state.nextOffset);
    metrics.freshnessAge.set(node.freshness.getAge(now) / 1000);
    metrics.schedulerActive.set(node.scheduler.term ? 1 : 0);
    metrics.heldCallers.set(node.waiters.count);
    const sent = parts.peerClient.bytesSent + parts.peerServer.bytesSent;
    const received =
      parts.peerClient.bytesReceived + parts.peerServer.bytesReceived;
    metrics.peerBytes.set({direction: 'sent'}, sent);
    metrics.peerBytes.set({direction: 'received'}, received);
    metrics.platformBytes.set({direction: 'sent'}, platformTraffic.bytesSent);
    metrics.platformBytes.set(
      {direction: 'received'},
      platformTraffic.bytesReceived,
    );
  }

  /** Gives peers a moment to answer, so that a state can be had from them too. */
  private async waitForPeers(signal: AbortSignal): Promise<void> {
    const {clock, mesh, settings} = this.context;
    const end = clock.now() + settings.timings.heartbeatMs;
    while (
      settings.seeds.length > 0 &&
      clock.now() < end &&
      !signal.aborted &&
      !mesh.listPeers().some(({report}) => report?.ready)
    ) {
      await clock.sleep(START_POLL_MS, signal);
    }
  }

  private async waitUntilCaughtUp(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.context.follower.isCaughtUp) {
      await this.context.clock.sleep(START_POLL_MS, signal);
    }
  }

  private keep(name: string, loop: Promise<unknown>): void {
    const guarded = loop.catch(error => {
      this.context.logger.error('loop-failed', {
        loop: name,
        problem: describeError(error),
      });
      void this.stop(`the ${name} loop failed`);
    });
    this.running.push(guarded);
  }
}

/** Resolves when `work` has ended, or after `timeout` milliseconds. */
async function withDeadline(
  work: Promise<unknown>,
  timeout: Milliseconds,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<void>(resolve => {
    timer = setTimeout(resolve, Math.max(0, timeout));
  });
  await Promise.race([work, expired]);
  clearTimeout(timer);
}
