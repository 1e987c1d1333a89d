/** Error codes with their HTTP status, message and remedy. */

/** Status and text templates of an error code. */
export interface ErrorTemplate {
  /** HTTP status of an entry instance's response. */
  readonly status: number;
  /** Description of what happened. `{name}` is replaced by the detail of that name. */
  readonly message: string;
  /** Action that resolves the error, or what the system does about it. */
  readonly remedy: string;
}

/** Templates by error code. Codes are part of the API: the meaning of a code never changes. */
export const ERROR_TEMPLATES = {
  'bad-request': {
    status: 400,
    message: 'The request is not valid: {problem}.',
    remedy: 'Correct the named field and send the request again.',
  },
  'body-too-large': {
    status: 413,
    message: 'The request body is larger than {limitBytes} bytes.',
    remedy: 'Shorten the payload, or store it elsewhere and send a reference.',
  },
  'not-found': {
    status: 404,
    message: '{kind} {id} is not known to this instance.',
    remedy:
      'Check the id; a finished job is kept until its request id expires.',
  },
  'request-conflict': {
    status: 409,
    message: 'Request id {requestId} was already used with a different body.',
    remedy: 'Use a new request id for a new request.',
  },
  'request-withdrawn': {
    status: 409,
    message: 'Request id {requestId} was withdrawn. It was not run.',
    remedy: 'Submit the request with a new request id.',
  },
  'request-expired': {
    status: 422,
    message:
      'The request was created {ageSeconds} s ago, longer than the window of {windowSeconds} s in which request ids are kept. It was not run.',
    remedy:
      'Check that the job is still wanted, and submit it with a new request id.',
  },
  'unknown-workspace': {
    status: 422,
    message: 'Workspace {workspace} does not exist. The job was not run.',
    remedy:
      'List the workspaces with "galenavalve workspaces", or create this one.',
  },
  'never-runnable': {
    status: 422,
    message: 'The job can never run: {constraint}. It was not run.',
    remedy:
      'Change the gang so that it fits, or ask the operators to change the inventory.',
  },
  'workspace-limit': {
    status: 429,
    message:
      'Workspace {workspace} has reached its limit with {count} waiting jobs. The job was not run.',
    remedy:
      'Wait until some of the jobs have started, or cancel some, and send the request again.',
  },
  overloaded: {
    status: 503,
    message:
      'This instance has too many requests waiting for the log. The job was not run.',
    remedy: 'Send the same request again after the time in Retry-After.',
  },
  'log-unavailable': {
    status: 503,
    message:
      "The platform's log cannot be reached. The request was not run and nothing was recorded.",
    remedy: 'Send the same request again after the time in Retry-After.',
  },
  'outcome-unknown': {
    status: 504,
    message:
      'It is not known yet whether request {requestId} was recorded before the deadline.',
    remedy:
      'Send the request again with the same request id; it runs at most once, however often it is sent.',
  },
  'take-out-pending': {
    status: 504,
    message:
      'The take-out of {entity} is in force on all reachable instances, but is not recorded in the log yet.',
    remedy:
      'It is recorded when the log is available again. Send the same command again to check this, or if the instance was replaced in the meantime.',
  },
  stopping: {
    status: 503,
    message:
      'This instance is stopping and accepts no new requests. The request was not run.',
    remedy: 'Send it to another entry instance.',
  },
  'not-ready': {
    status: 503,
    message: 'This instance has not caught up with the log yet.',
    remedy: 'Send the request to another entry instance, or again in a second.',
  },
  'config-conflict': {
    status: 409,
    message:
      '{entity} is at version {currentVersion}, but the change is based on version {baseVersion}.',
    remedy:
      'Read the current value with "galenavalve config diff", and base the change on it.',
  },
  'config-invalid': {
    status: 422,
    message: 'The configuration change was rejected: {problem}.',
    remedy: 'Correct the change; no part of it was applied.',
  },
  'guarantee-shortfall': {
    status: 422,
    message: 'The inventory cannot satisfy the guarantees: {shortfall}.',
    remedy:
      'Lower the named guarantee, or add targets to the named failure domain first.',
  },
  'settings-invalid': {
    status: 500,
    message: '{file}: {key}: {problem}.',
    remedy: 'Correct it: {remedy}.',
  },
  'record-invalid': {
    status: 500,
    message: 'The log record at offset {offset} cannot be read: {problem}.',
    remedy:
      'Every instance skips the record; correct its writer and append it again.',
  },
  'snapshot-invalid': {
    status: 500,
    message: 'Snapshot {snapshotId} cannot be used: {problem}.',
    remedy: 'An older snapshot or the state of a peer is used instead.',
  },
  'frame-invalid': {
    status: 500,
    message: 'A peer sent a frame that cannot be read: {problem}.',
    remedy: 'The connection is closed and reopened.',
  },
  'peer-timeout': {
    status: 504,
    message: 'Peer {peer} did not respond within {timeoutMs} ms.',
    remedy: 'The call is repeated with another peer.',
  },
  'peer-unavailable': {
    status: 503,
    message: 'There is no working connection to peer {peer}: {problem}.',
    remedy: 'The call is repeated with another peer.',
  },
  'append-rejected': {
    status: 503,
    message: 'The log rejected the append: {problem}. Nothing was recorded.',
    remedy: 'Send the request again later.',
  },
  'append-uncertain': {
    status: 504,
    message:
      'The log did not confirm whether the append took effect: {problem}.',
    remedy:
      'Read the log from the last known offset to find out whether it did.',
  },
  'file-unreadable': {
    status: 400,
    message: 'The file {file} cannot be read: {problem}.',
    remedy: 'Check the path and the permissions of the file.',
  },
  'read-failed': {
    status: 503,
    message: 'The log could not be read from offset {offset}: {problem}.',
    remedy: 'The read is retried; the state is unchanged.',
  },
  'offset-expired': {
    status: 500,
    message:
      'Offset {offset} is before the oldest record in the log, {oldest}.',
    remedy: 'Start from a snapshot or from the state of a peer.',
  },
  'instances-unavailable': {
    status: 503,
    message: 'The list of instances could not be read: {problem}.',
    remedy: 'The last known list stays in use, and the read is retried.',
  },
  // Reported by the client of the command line tool. An entry instance is one that serves
  // callers; the entry addresses are the base URLs in the tool's settings.
  'entry-unreachable': {
    status: 503,
    message:
      'No entry instance could be reached: {problem}. The request was not run.',
    remedy:
      'Check the entry addresses and the network, and send the same request again.',
  },
  'target-unreachable': {
    status: 503,
    message: 'Target {target} did not respond: {problem}.',
    remedy: 'Other targets are tried; its work is checked when it responds.',
  },
  'target-refused': {
    status: 409,
    message: 'Target {target} refused the command: {problem}.',
    remedy: 'Other targets are tried.',
  },
  internal: {
    status: 500,
    message: 'The request failed inside the instance: {problem}.',
    remedy:
      'Send the request again with the same request id; report the problem with the log lines of that time.',
  },
} as const satisfies Record<string, ErrorTemplate>;

/** Code of an error. */
export type ErrorCode = keyof typeof ERROR_TEMPLATES;
