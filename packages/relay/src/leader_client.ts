/** Passes records on to the leader that it may not have read yet. */
import * as z from 'zod';
import type {DispatchService} from '@galenavalve/dispatch';
import type {LeaderPort} from '@galenavalve/gateway';
import {
  type Logger,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {PeerClient, PeerServer} from '@galenavalve/wire';
import type {JobTable, StoredRecord} from '@galenavalve/workload';
import type {PeerDirectory} from './peer_directory.js';
import type {PeerEntry} from './peer_entry.js';

/** Method of the peer protocol. */
const RECORD_METHOD = 'job-record';

/** Timeout of passing on a record; the leader reads it from the log in any case. */
const RECORD_TIMEOUT_MS: Milliseconds = 1000;

/** Request with a record that is in the job log. */
const recordRequestSchema = z.object({
  key: z.string(),
  value: z.string(),
  offset: z.number().int().nonnegative(),
});

/** What an instance does for its peers as the leader. */
export interface LeaderServices {
  jobs: Pick<DispatchService, 'isDispatching'>;
  /** Applies a record of the job log as if it had been read. */
  applyRecord(record: StoredRecord): void;
}

/** Calls a peer that leads. */
export interface PeerJobClient {
  /** Passes on a record of the job log. Rejects if the peer does not respond within `timeout`. */
  passRecord(
    peer: PeerEntry,
    record: StoredRecord,
    timeout: Milliseconds,
  ): Promise<void>;
}

/** Client of peers over TCP. */
export class WirePeerJobClient implements PeerJobClient {
  constructor(private readonly client: PeerClient) {}

  async passRecord(
    {instance, host, port}: PeerEntry,
    record: StoredRecord,
    timeout: Milliseconds,
  ): Promise<void> {
    const peer = {instance, host, port};
    await this.client.call(peer, RECORD_METHOD, record, timeout);
  }
}

/** Serves peers that take this instance for the leader. */
export function serveJobs(
  server: PeerServer,
  getServices: () => LeaderServices,
): void {
  server.handle(RECORD_METHOD, recordRequestSchema, async record => {
    const {jobs, applyRecord} = getServices();
    if (jobs.isDispatching) {
      applyRecord(record);
    }
    return {};
  });
}

/** The leader, which is this instance or a peer. */
export class LeaderClient implements LeaderPort {
  constructor(
    private readonly own: LeaderServices,
    private readonly table: JobTable,
    private readonly peers: PeerDirectory,
    private readonly client: PeerJobClient,
    private readonly logger: Logger,
  ) {}

  onAppended(record: StoredRecord): void {
    if (this.own.jobs.isDispatching) {
      this.own.applyRecord(record);
      return;
    }
    const leader = this.findLeader();
    if (leader) {
      this.client
        .passRecord(leader, record, RECORD_TIMEOUT_MS)
        .catch((error: unknown) =>
          this.logger.debug('record-not-passed', {
            leader: leader.instance,
            problem: describeError(error),
          }),
        );
    }
  }

  /** Returns the peer that holds the newest leadership; undefined if that is this instance or unknown. */
  private findLeader(): PeerEntry | undefined {
    const instance = this.table.leadership?.holder.split('/')[0];
    return this.peers.listPeers().find(peer => peer.instance === instance);
  }
}
