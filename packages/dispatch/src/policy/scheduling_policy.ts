/** Interface of scheduling policies, and the policy that the dispatcher uses by default. */
import type {Instant} from '@galenavalve/shared';
import {decide} from './decision.js';
import type {Decision, SchedulingSnapshot} from './scheduling_snapshot.js';

/** Decides in each scheduling pass which units start where and which are stopped for them. */
export interface SchedulingPolicy {
  /** Name for reports. */
  readonly name: string;
  decide(snapshot: SchedulingSnapshot, now: Instant): Decision;
}

/** Orders units by urgency and slack, reserves targets for wide ones, and reclaims capacity for urgent ones. */
export class SlackPolicy implements SchedulingPolicy {
  readonly name = 'slack';

  decide(snapshot: SchedulingSnapshot, now: Instant): Decision {
    return decide(snapshot, now);
  }
}
