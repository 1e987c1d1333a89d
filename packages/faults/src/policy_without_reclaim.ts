/** A policy that never takes back what others borrowed, to show that the check sees it. */
import {GalenaPolicy, type PassDecisions} from '@galenavalve/placement';

/** Leaves out every reclaim. */
export class PolicyWithoutReclaim extends GalenaPolicy {
  override decide(
    ...situation: Parameters<GalenaPolicy['decide']>
  ): PassDecisions {
    return {...super.decide(...situation), reclaims: []};
  }
}
