/** Request handlers of the peer protocol. */
import {z} from 'zod';
import {encodeStateAsync} from '@galenavalve/ledger';
import {
  RECORDS_METHOD,
  type RecordCache,
  STATE_OPEN_METHOD,
  STATE_SECTION_METHOD,
  StateServer,
  emptyBody,
  recordsRequest,
  sectionRequest,
} from '@galenavalve/membership';
import {Failure} from '@galenavalve/shared';
import type {PeerServer} from '@galenavalve/wire';
import type {DaemonContext} from '../daemon_context.js';

/** Method of the peer protocol that requests from a domain's scheduler the reason why a job waits. */
export const WAIT_REASON_METHOD = 'wait-reason';

const waitReasonRequest = z.strictObject({jobId: z.string().max(100)});

/** Registers the handlers. Returns the state server, whose unused offers the caller must drop periodically. */
export function registerPeerHandlers(
  context: DaemonContext,
  server: PeerServer,
  recordCache: RecordCache,
): StateServer {
  server.handle(WAIT_REASON_METHOD, waitReasonRequest, async ({jobId}) => {
    const reason = context.scheduler.getWaitReason(jobId);
    if (!reason) {
      throw new Failure('not-found', {kind: 'waiting reason', id: jobId});
    }
    return reason;
  });
  server.handle(RECORDS_METHOD, recordsRequest, async request =>
    recordCache.readPage(request),
  );
  const stateServer = new StateServer(() => encodeState(context));
  server.handle(STATE_OPEN_METHOD, emptyBody, () =>
    stateServer.open(context.clock.now()),
  );
  server.handle(STATE_SECTION_METHOD, sectionRequest, request =>
    stateServer.readSection(request, context.clock.now()),
  );
  return stateServer;
}

function encodeState(context: DaemonContext) {
  const {instance} = context.settings;
  const {state} = context;
  return encodeStateAsync(state, `${instance}-${state.nextOffset}`);
}
