/** Asks the leader which jobs are complete, while the log does not have that yet. */
import * as z from 'zod';
import type {DispatchService} from '@galenavalve/dispatch';
import type {CompletionSource} from '@galenavalve/gateway';
import type {Milliseconds} from '@galenavalve/shared';
import type {PeerClient, PeerServer} from '@galenavalve/wire';
import type {JobTable} from '@galenavalve/workload';
import type {PeerDirectory} from './peer_directory.js';
import type {PeerEntry} from './peer_entry.js';

/** Method of the peer protocol. */
const JOB_DONE_METHOD = 'job-done';

/** Request that names a job. */
const jobDoneRequestSchema = z.object({id: z.string()});

/** Response: whether all tasks of the job have ended as done. */
const jobDoneResponseSchema = z.object({isDone: z.boolean()});

/** The part of an instance that knows the jobs that it dispatches. */
export type JobKnowledge = Pick<DispatchService, 'isJobDone'>;

/** Asks a peer about the jobs that it dispatches. */
export interface PeerJobClient {
  /** Rejects if the peer does not respond within `timeout`. */
  isJobDone(
    peer: PeerEntry,
    jobId: string,
    timeout: Milliseconds,
  ): Promise<boolean>;
}

/** Client of peers' jobs over TCP. */
export class WirePeerJobClient implements PeerJobClient {
  constructor(private readonly client: PeerClient) {}

  async isJobDone(
    {instance, host, port}: PeerEntry,
    jobId: string,
    timeout: Milliseconds,
  ): Promise<boolean> {
    const response = await this.client.call(
      {instance, host, port},
      JOB_DONE_METHOD,
      {id: jobId},
      timeout,
    );
    return jobDoneResponseSchema.parse(response).isDone;
  }
}

/** Answers peers' questions about the jobs that this instance dispatches. */
export function serveJobs(server: PeerServer, getJobs: () => JobKnowledge) {
  server.handle(JOB_DONE_METHOD, jobDoneRequestSchema, async ({id}) => ({
    isDone: getJobs().isJobDone(id),
  }));
}

/** Completions that this instance knows as the leader, or else asks the leader for. */
export class LeaderCompletions implements CompletionSource {
  constructor(
    private readonly own: JobKnowledge,
    private readonly table: JobTable,
    private readonly peers: PeerDirectory,
    private readonly client: PeerJobClient,
  ) {}

  async isJobDone(jobId: string, timeout: Milliseconds): Promise<boolean> {
    if (this.own.isJobDone(jobId)) {
      return true;
    }
    const leader = this.findLeader();
    if (!leader) {
      return false;
    }
    try {
      return await this.client.isJobDone(leader, jobId, timeout);
    } catch {
      // A leader that does not respond leaves the state as the log has it.
      return false;
    }
  }

  /** Returns the peer that holds the newest leadership; undefined if that is this instance or unknown. */
  private findLeader(): PeerEntry | undefined {
    const instance = this.table.leadership?.holder.split('/')[0];
    return this.peers.listPeers().find(peer => peer.instance === instance);
  }
}
