/** Placement policy without reclaim, with which tests show that the checks detect its absence. */
import {GuaranteePolicy, type PassDecisions} from '@galenavalve/placement';

/** Guarantee policy that never reclaims borrowed capacity. */
export class PolicyWithoutReclaim extends GuaranteePolicy {
  override decide(
    ...args: Parameters<GuaranteePolicy['decide']>
  ): PassDecisions {
    return {...super.decide(...args), reclaims: []};
  }
}
