/** Admission of requests: finds the queue and the workspace of a request. A request is denied only if the configuration was confirmed recently, since an older one may lack what the request names. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {DesiredStateStore, Queue} from './desired_state.js';

/** Maximum age of a confirmation on which a request is denied. The log of the configuration responds every second, and a change takes effect within two seconds. */
const MAX_CONFIRMATION_AGE_MS: Milliseconds = 1500;

/** Time after which a caller should retry if the configuration cannot be read. */
const RETRY_AFTER_SECONDS = 1;

/** What identifies the queue and the workspace of a request. */
export interface AdmissionRequest {
  host: string;
  path: string;
  /** Key of the workspace; absent if the caller sent none. */
  key?: string;
}

/** Result of admission, which precedes any processing of the request. `workspace` is absent on public queues. */
export type Admission =
  | {kind: 'admitted'; queue: Queue; workspace?: string}
  | {kind: 'unknown-queue'}
  | {kind: 'unknown-key'}
  /** The request was not processed and may be sent again. */
  | {kind: 'refused'; problem: string; retryAfterSeconds: number};

/** Finds the queue and the workspace of a request. */
export function admit(
  desiredState: DesiredStateStore,
  {host, path, key}: AdmissionRequest,
  now: Instant,
): Admission {
  if (desiredState.version === undefined) {
    return refuse('no configuration has been read yet');
  }
  const queue = desiredState.findQueue(host, path);
  const workspace = key ? desiredState.findWorkspace(key) : undefined;
  if (queue?.isPublic) {
    return {kind: 'admitted', queue};
  }
  if (queue && workspace !== undefined) {
    return {kind: 'admitted', queue, workspace};
  }
  if (now - desiredState.confirmedAt > MAX_CONFIRMATION_AGE_MS) {
    return refuse(
      'the configuration cannot currently be read, and a newer version may contain the queue or the key; retry later',
    );
  }
  return {kind: queue ? 'unknown-key' : 'unknown-queue'};
}

function refuse(problem: string): Admission {
  return {kind: 'refused', problem, retryAfterSeconds: RETRY_AFTER_SECONDS};
}
