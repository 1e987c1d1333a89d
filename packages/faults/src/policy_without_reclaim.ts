/** A policy that never takes back what others borrowed, to show that the check sees it. */
import {GuaranteePolicy, type PassDecisions} from '@galenavalve/placement';

/** Leaves out every reclaim. */
export class PolicyWithoutReclaim extends GuaranteePolicy {
  override decide(
    ...situation: Parameters<GuaranteePolicy['decide']>
  ): PassDecisions {
    return {...super.decide(...situation), reclaims: []};
  }
}
