/** The daemon: starts its loops, serves requests and shuts down gracefully, so that no request is interrupted. */
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
const TICK_INTERVAL_MS: Milliseconds = 200;

/** Time between two checks of whether a starting daemon has caught up. */
const START_POLL_INTERVAL_MS: Milliseconds = 25;

/** Time for which a load balancer may still send requests after `/readyz` has reported not ready. */
const LOAD_BALANCER_GRACE_MS: Milliseconds = 500;

/** Dependencies that only the daemon itself starts and stops. */
export interface DaemonDependencies {
  peerServer: PeerServer;
  peerClient: PeerClient;
  recordCache: RecordCache;
  instanceList: ObservableInstanceList;
  snapshotWriter: SnapshotWriter;
}

/** The daemon of one entry instance. */
export class Daemon {
  private readonly loopsAbort = new AbortController();
  private readonly election: Election;
  private runningLoops: Promise<unknown>[] = [];
  private httpServer: HttpServer | undefined;
  private stopPromise: Promise<void> | undefined;
  private stateServer: StateServer | undefined;

  constructor(
    readonly context: DaemonContext,
    private readonly dependencies: DaemonDependencies,
  ) {
    this.election = new Election(context);
    // Every loop adds a listener to the signal, so the limit on listeners is disabled.
    setMaxListeners(0, this.loopsAbort.signal);
    context.follower.onApplied(applied => this.onApplied(applied));
    context.follower.onStateReplaced(() => this.onStateReplaced());
  }

  /** Port of the HTTP interface; undefined before the start. */
  get port(): number | undefined {
    return this.httpServer?.port;
  }

  /** Starts all loops; resolves when the daemon has caught up with the log and serves. */
  async start(): Promise<void> {
    const {context} = this;
    const {signal} = this.loopsAbort;
    this.registerHandlers();
    await this.dependencies.peerServer.start();
    this.httpServer = await startHttpServer(context);
    this.trackLoop('mesh', context.mesh.run(signal));
    await this.waitForPeers(signal);
    this.trackLoop('follower', context.follower.run(signal));
    this.trackLoop('writer', context.writer.run(signal));
    this.trackLoop('catch-up', catchUpFromPeers(context, signal));
    this.trackLoop('snapshots', this.dependencies.snapshotWriter.run(signal));
    this.trackLoop('keeper', context.scheduler.renewLeases(signal));
    this.trackLoop('freshness', this.tickFreshness(signal));
    await this.waitUntilCaughtUp(signal);
    if (context.stage === 'starting') {
      context.stage = 'serving';
      context.logger.info('serving', {
        port: this.httpServer.port,
        offset: context.state.nextOffset,
      });
    }
    this.trackLoop('election', this.election.run(signal));
  }

  /** Shuts down gracefully: refuses new requests, gives up roles, responds to held callers and stops the loops. */
  stop(cause: string): Promise<void> {
    this.stopPromise ??= this.shutDown(cause);
    return this.stopPromise;
  }

  private async shutDown(cause: string): Promise<void> {
    const {context} = this;
    const {clock, settings} = context;
    context.logger.info('stopping', {cause});
    context.stage = 'stopping';
    const deadline = clock.now() + settings.timings.drainMs;
    await clock.sleep(LOAD_BALANCER_GRACE_MS);
    await waitWithTimeout(
      context.scheduler.waitUntilIdle(),
      deadline - clock.now(),
    );
    context.scheduler.deactivate('graceful shutdown');
    // Held callers get the current state of their job, and resume at another
    // instance with their request id.
    context.waiters.close();
    if (this.httpServer) {
      await waitWithTimeout(this.httpServer.close(), deadline - clock.now());
    }
    this.loopsAbort.abort();
    await waitWithTimeout(Promise.all(this.runningLoops), 1_000);
    this.dependencies.peerClient.close();
    await this.dependencies.peerServer.close();
    context.logger.info('stopped', {cause});
  }

  /** Handles the replacement of the folded state by a restored one. */
  private onStateReplaced(): void {
    const {context} = this;
    context.logger.info('state-replaced', {offset: context.state.nextOffset});
    context.scheduler.deactivate('the state was replaced');
    for (const projection of context.listProjections()) {
      projection.rebuild();
    }
    context.waiters.recheck();
  }

  private onApplied(applied: FoldResult): void {
    const {context} = this;
    const {record} = applied;
    context.metrics.foldedRecords.inc({
      type: record?.type ?? 'invalid',
      verdict: applied.accepted ? 'accepted' : 'rejected',
    });
    for (const projection of context.listProjections()) {
      projection.onApplied(applied);
    }
    this.endHolds(applied);
    this.election.onApplied(applied);
    context.scheduler.onApplied(applied);
    context.waiters.onApplied(applied);
    if (record?.type === 'started' && applied.accepted) {
      this.observeStart(record.jobId);
    }
  }

  /** Ends the holds on the entities of an accepted configuration record; nothing else ends a hold. */
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

  private registerHandlers(): void {
    const {context} = this;
    this.stateServer = registerPeerHandlers(
      context,
      this.dependencies.peerServer,
      this.dependencies.recordCache,
    );
    this.dependencies.instanceList.addListener(instances => {
      const leaving = instances
        .filter(({role, state}) => role === 'target' && state === 'leaving')
        .filter(({domain}) => domain === context.settings.domain)
        .map(({id}) => id);
      context.scheduler.onTargetsListed(new Set(leaving));
    });
    context.mesh.addReportListener(({report, madeAfter}) => {
      if (madeAfter !== undefined) {
        context.freshness.onPeerReport(
          report,
          context.state.nextOffset,
          madeAfter,
        );
      }
    });
  }

  /** Periodically detects pauses, updates the freshness from the follower's reads, and runs the other periodic updates. */
  private async tickFreshness(signal: AbortSignal): Promise<void> {
    const {context} = this;
    while (!signal.aborted) {
      const now = context.clock.now();
      if (context.freshness.detectPause(now)) {
        context.logger.warn('paused', {
          remedy:
            'the process was paused; no work starts until the log has been read again',
        });
      }
      const readAt = context.follower.getFreshAt();
      if (readAt !== undefined) {
        context.freshness.onRead(readAt);
      }
      context.freshness.onOffsetReached(context.state.nextOffset);
      this.stateServer?.dropUnused(now);
      this.updateAppendRate(now);
      this.updateMetrics(now);
      await context.clock.sleep(TICK_INTERVAL_MS, signal);
    }
  }

  /** Limits this instance to its share of the log's append rate, which all alive instances divide evenly. */
  private updateAppendRate(now: number): void {
    const {context} = this;
    const alive = context.mesh
      .listPeers()
      .filter(({address}) => context.mesh.isAlive(address.instance, now));
    const {appendsPerSecond} = context.settings.limits;
    context.writer.setAppendRate(appendsPerSecond / (alive.length + 1));
  }

  private updateMetrics(now: number): void {
    const {context, dependencies} = this;
    const {metrics} = context;
    metrics.logOffset.set(context.state.nextOffset);
    metrics.freshnessAge.set(context.freshness.getAge(now) / 1000);
    metrics.schedulerActive.set(context.scheduler.term ? 1 : 0);
    metrics.heldCallers.set(context.waiters.count);
    const sent =
      dependencies.peerClient.bytesSent + dependencies.peerServer.bytesSent;
    const received =
      dependencies.peerClient.bytesReceived +
      dependencies.peerServer.bytesReceived;
    metrics.peerBytes.set({direction: 'sent'}, sent);
    metrics.peerBytes.set({direction: 'received'}, received);
    metrics.platformBytes.set({direction: 'sent'}, platformTraffic.bytesSent);
    metrics.platformBytes.set(
      {direction: 'received'},
      platformTraffic.bytesReceived,
    );
  }

  /** Waits up to one heartbeat interval for a ready peer, so that the state can also be restored from peers. */
  private async waitForPeers(signal: AbortSignal): Promise<void> {
    const {clock, mesh, settings} = this.context;
    const end = clock.now() + settings.timings.heartbeatMs;
    while (
      settings.seeds.length > 0 &&
      clock.now() < end &&
      !signal.aborted &&
      !mesh.listPeers().some(({report}) => report?.ready)
    ) {
      await clock.sleep(START_POLL_INTERVAL_MS, signal);
    }
  }

  private async waitUntilCaughtUp(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.context.follower.isCaughtUp) {
      await this.context.clock.sleep(START_POLL_INTERVAL_MS, signal);
    }
  }

  /** Tracks a loop until it ends; stops the daemon if the loop fails. */
  private trackLoop(name: string, loop: Promise<unknown>): void {
    const guarded = loop.catch(error => {
      this.context.logger.error('loop-failed', {
        loop: name,
        problem: describeError(error),
      });
      void this.stop(`the ${name} loop failed`);
    });
    this.runningLoops.push(guarded);
  }
}

/** Resolves when `work` has ended or after `timeoutMs`, whichever is first. */
async function waitWithTimeout(
  work: Promise<unknown>,
  timeoutMs: Milliseconds,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<void>(resolve => {
    timer = setTimeout(resolve, Math.max(0, timeoutMs));
  });
  await Promise.race([work, expired]);
  clearTimeout(timer);
}
