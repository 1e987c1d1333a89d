/** Typed reasons of scheduling decisions, used in records, log lines, `explain` and `plan`. */
import {z} from 'zod';

/** Text templates by reason code. `{name}` is replaced by the detail of that name. */
export const REASON_TEMPLATES = {
  'placed-guaranteed':
    'placed on {targets} within the guarantee of {workspace}',
  'placed-borrowed':
    'placed on {targets} with guaranteed capacity that other workspaces do not use',
  'placed-backfill':
    'placed on {targets} ahead of {reservedFor} without delaying it',
  'routed-capacity': 'routed to {domain}: it has adjacent free capacity',
  'routed-queue': 'routed to {domain}: it has the shortest queue',
  'routed-only': 'routed to {domain}: no other failure domain can ever run it',
  'moved-domain-out': 'moved from {from} to {domain}: {from} is out of service',
  'moved-capacity': 'moved from {from} to {domain}: it can start there now',
  'waiting-capacity':
    'waits for {missing}: the largest adjacent free block has {available}',
  'waiting-order': 'waits for its turn: {ahead} jobs are ahead of it',
  'waiting-reservation':
    'waits: the free capacity is reserved for {reservedFor}, the oldest large job',
  'waiting-guarantee':
    'waits: starting it would make the guarantee of {workspace} unsatisfiable',
  'waiting-reclaim': 'waits until {victims} have stopped',
  'waiting-approval': 'waits for an operator to approve it',
  'waiting-domain': 'waits: {domain} is out of service',
  'waiting-stale': 'waits: the configuration is not known to be current',
  'waiting-scheduler': 'waits: {domain} currently has no scheduler',
  'waiting-targets': 'waits: {target} refused or did not respond: {problem}',
  'waiting-backoff': 'waits {seconds} s after failure {failures}',
  'never-size': 'no {level} that {workspace} may use can hold {needed}',
  'never-permitted': 'no target that {workspace} may use can hold one task',
  'never-unknown-workspace': 'workspace {workspace} does not exist',
  'preempted-reclaim':
    'stopped so that {workspace} gets its guaranteed capacity back',
  'preempted-large':
    'stopped so that {reservedFor}, the oldest large job, can start; its saved progress is kept',
  'preempted-domain-out': 'stopped because {domain} was taken out of service',
  'preempted-target-leaving': 'stopped because {target} is leaving',
  'stopped-member': 'stopped because {target} failed: {problem}',
  'start-refused': 'not started: {target} refused: {problem}',
  'start-unknown': 'may have been started in part on {target}',
  'fenced-not-started': 'not started by the previous scheduler',
  'task-failed': 'task {task} failed on {target}: {problem}',
  'job-failing': 'ended after failures on {failures} different targets',
  'result-too-large':
    'the result has {bytes} bytes, above the limit of {limitBytes} bytes for recorded results',
  cancelled: 'cancelled by {by}',
  finished: 'all {tasks} tasks finished',
} as const;

/** Code of a reason. */
export type ReasonCode = keyof typeof REASON_TEMPLATES;

const reasonCodes = Object.keys(REASON_TEMPLATES) as [
  ReasonCode,
  ...ReasonCode[],
];

/** Reason of a decision. */
export const reason = z.strictObject({
  code: z.enum(reasonCodes),
  details: z
    .record(z.string(), z.union([z.string().max(2000), z.number()]))
    .default({}),
});
export type Reason = z.infer<typeof reason>;

/** Creates a reason with its details. */
export function createReason(
  code: ReasonCode,
  details: Record<string, string | number> = {},
): Reason {
  return {code, details};
}

/** Returns the text of a reason; a placeholder without a detail stays. */
export function describeReason(value: Reason): string {
  return REASON_TEMPLATES[value.code].replace(
    /\{(\w+)\}/g,
    (placeholder, key: string) =>
      key in value.details ? String(value.details[key]) : placeholder,
  );
}
