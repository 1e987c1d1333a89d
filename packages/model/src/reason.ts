/** Typed reasons of decisions, shared by log lines, `explain` and `plan`. */
import {z} from 'zod';

/** Every reason code with its text. `{name}` is replaced by the detail of that name. */
export const REASON_TEMPLATES = {
  'placed-guaranteed':
    'placed on {targets} within the guarantee of {workspace}',
  'placed-borrowed':
    'placed on {targets} with capacity that others are promised but do not use',
  'placed-backfill':
    'placed on {targets} ahead of {reservedFor}, which it does not delay',
  'routed-capacity': 'routed to {domain}: it has adjacent free capacity',
  'routed-queue': 'routed to {domain}: it has the shortest queue',
  'routed-only': 'routed to {domain}: no other failure domain can ever hold it',
  'moved-domain-out': 'moved from {from} to {domain}: {from} is out of service',
  'moved-capacity': 'moved from {from} to {domain}: it can start there now',
  'waiting-capacity':
    'waits for {missing}: the largest adjacent free block has {available}',
  'waiting-order': 'waits for its turn: {ahead} jobs are before it',
  'waiting-reservation':
    'waits: the free capacity is kept for {reservedFor}, the oldest large job',
  'waiting-guarantee':
    'waits: starting it would leave the guarantee of {workspace} out of reach',
  'waiting-reclaim': 'waits until {victims} have stopped',
  'waiting-approval': 'waits for an operator to approve it',
  'waiting-domain': 'waits: {domain} is out of service',
  'waiting-stale': 'waits: the configuration is not known to be current',
  'waiting-scheduler': 'waits: {domain} has no scheduler at the moment',
  'waiting-targets': 'waits: {target} refused or did not answer: {problem}',
  'waiting-backoff': 'waits {seconds} s after failure {failures}',
  'never-size': 'no {level} that {workspace} may use can hold {needed}',
  'never-permitted': '{workspace} may use no target that fits one task',
  'never-unknown-workspace': 'workspace {workspace} does not exist',
  'preempted-reclaim':
    'stopped so that {workspace} gets back what it is promised',
  'preempted-large':
    'stopped so that {reservedFor}, the oldest large job, can start; its progress is kept',
  'preempted-domain-out': 'stopped because {domain} was taken out of service',
  'preempted-target-leaving': 'stopped because {target} is leaving',
  'stopped-member': 'stopped because {target} failed: {problem}',
  'start-refused': 'not started: {target} refused: {problem}',
  'start-unknown': 'it may have started in part on {target}',
  'fenced-not-started': 'its earlier scheduler did not start it',
  'task-failed': 'task {task} failed on {target}: {problem}',
  'job-failing': 'ended after failures on {failures} different targets',
  'result-too-large':
    'the result has {bytes} bytes, more than {limitBytes} can be recorded',
  cancelled: 'cancelled by {by}',
  finished: 'all {tasks} tasks finished',
} as const;

/** The code of a reason. */
export type ReasonCode = keyof typeof REASON_TEMPLATES;

const reasonCodes = Object.keys(REASON_TEMPLATES) as [
  ReasonCode,
  ...ReasonCode[],
];

/** Why a decision was taken. */
export const reason = z.strictObject({
  code: z.enum(reasonCodes),
  details: z
    .record(z.string(), z.union([z.string().max(2000), z.number()]))
    .default({}),
});
export type Reason = z.infer<typeof reason>;

/** Makes a reason. */
export function createReason(
  code: ReasonCode,
  details: Record<string, string | number> = {},
): Reason {
  return {code, details};
}

/** The reason as a sentence. */
export function describeReason(value: Reason): string {
  return REASON_TEMPLATES[value.code].replace(
    /\{(\w+)\}/g,
    (whole, key: string) =>
      key in value.details ? String(value.details[key]) : whole,
  );
}
