/** Which queue and workspace a call is for, and whether that can be denied: only a configuration that was read just now denies truthfully. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {DesiredStateStore, Queue} from './desired_state.js';

/** A configuration that was not confirmed for this long may have been replaced: its log answers every second, and changes are in force after two. */
const CONFIRMATION_LIMIT: Milliseconds = 1500;

/** Seconds after which a caller should come back when the configuration cannot be read. */
const RETRY_AFTER_SECONDS = 1;

/** What a call names. */
export interface AdmissionRequest {
  host: string;
  path: string;
  key?: string;
}

/** What becomes of a call before anything is done for it. */
export type Admission =
  | {kind: 'admitted'; queue: Queue; workspace?: string}
  | {kind: 'unknown-queue'}
  | {kind: 'unknown-key'}
  /** It was not run. */
  | {kind: 'refused'; problem: string; retryAfterSeconds: number};

/** Finds the queue and the workspace of a call. */
export function admit(
  desired: DesiredStateStore,
  {host, path, key}: AdmissionRequest,
  now: Instant,
): Admission {
  if (desired.version === undefined) {
    return refuse('no configuration was read yet');
  }
  const queue = desired.findQueue(host, path);
  const workspace = key ? desired.findWorkspace(key) : undefined;
  if (queue?.isPublic) {
    return {kind: 'admitted', queue};
  }
  if (queue && workspace !== undefined) {
    return {kind: 'admitted', queue, workspace};
  }
  if (now - desired.confirmedAt > CONFIRMATION_LIMIT) {
    return refuse('the configuration cannot be read now, and may name it');
  }
  return {kind: queue ? 'unknown-key' : 'unknown-queue'};
}

function refuse(problem: string): Admission {
  return {kind: 'refused', problem, retryAfterSeconds: RETRY_AFTER_SECONDS};
}
