/** What this instance answers to its peers. */
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

/** Method that asks a domain's scheduler what a job waits for. */
export const WAIT_REASON_METHOD = 'wait-reason';

const waitQuestion = z.strictObject({jobId: z.string().max(100)});

/** Registers every method. Returns what frees the memory of unused offers. */
export function registerPeerHandlers(
  context: DaemonContext,
  server: PeerServer,
  relay: RecordCache,
): StateServer {
  server.handle(WAIT_REASON_METHOD, waitQuestion, async ({jobId}) => {
    const reason = context.scheduler.getWaitReason(jobId);
    if (!reason) {
      throw new Failure('not-found', {kind: 'waiting reason', id: jobId});
    }
    return reason;
  });
  server.handle(RECORDS_METHOD, recordsRequest, async request =>
    relay.readPage(request),
  );
  const states = new StateServer(() => encodeState(context));
  server.handle(STATE_OPEN_METHOD, emptyBody, () =>
    states.open(context.clock.now()),
  );
  server.handle(STATE_SECTION_METHOD, sectionRequest, request =>
    states.readSection(request, context.clock.now()),
  );
  return states;
}

function encodeState(context: DaemonContext) {
  const {instance} = context.settings;
  const {state} = context;
  return encodeStateAsync(state, `${instance}-${state.nextOffset}`);
}
