/** Election of the scheduler: decides periodically whether this instance claims the term of its failure domain. */
import type {FoldResult} from '@galenavalve/ledger';
import {type Term, isSameTerm} from '@galenavalve/model';
import {
  type ClaimSituation,
  TAKEOVER_WINDOW_MS,
  decideClaim,
  computeNextClaimTime,
} from '@galenavalve/membership';
import {
  type Instant,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {isEligible} from './instance_report.js';

/** Time between two decisions. */
const ELECTION_INTERVAL_MS: Milliseconds = 250;

/** Timeout of a claim that the log does not acknowledge. */
const CLAIM_TIMEOUT_MS: Milliseconds = 3_000;

/** Takes part in the election of the scheduler of this instance's failure domain. */
export class Election {
  /** The latest term that this process has claimed successfully. */
  private heldTerm: Term | undefined;
  private currentTerm: Term | undefined;
  private termSeenAt: Instant;
  private claimAttempts = 0;
  /** Earliest time of the next claim. */
  private notBefore: Instant | undefined;
  private takeoverTimes: Instant[] = [];

  constructor(private readonly context: DaemonContext) {
    this.termSeenAt = context.clock.now();
  }

  /** Decides periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.decideOnce();
      await this.context.clock.sleep(ELECTION_INTERVAL_MS, signal);
    }
  }

  /** Handles a folded record: tracks the accepted claims of the domain. */
  onApplied(applied: FoldResult): void {
    const {record} = applied;
    if (
      record?.type === 'claimed' &&
      record.domain === this.domain &&
      applied.accepted
    ) {
      this.updateCurrentTerm(record.term);
      this.takeoverTimes.push(this.context.clock.now());
    }
  }

  private get domain(): string {
    return this.context.settings.domain;
  }

  private async decideOnce(): Promise<void> {
    const {context} = this;
    const now = context.clock.now();
    this.updateCurrentTerm(context.state.getSchedulerTerm(this.domain));
    const decision = decideClaim(this.createSituation(now));
    if (decision.kind !== 'claim') {
      return;
    }
    // Logged when this instance claims to be the domain's scheduler, with a term
    // higher than `after`.
    context.logger.info('claiming', {
      domain: this.domain,
      after: this.currentTerm,
      reason: decision.reason,
    });
    await this.claim();
  }

  private async claim(): Promise<void> {
    const {context} = this;
    const term: Term = {
      log: (this.currentTerm?.log ?? 0) + 1,
      outage: 0,
      instance: context.settings.instance,
    };
    this.notBefore = computeNextClaimTime(
      context.clock.now(),
      this.claimAttempts++,
      context.random,
    );
    try {
      const deadline = context.clock.now() + CLAIM_TIMEOUT_MS;
      const applied = await context.writer.append(
        {type: 'claimed', domain: this.domain, term},
        {deadline},
      );
      if (applied.accepted) {
        this.onClaimed(term);
      }
    } catch (error) {
      context.logger.warn('claim-failed', {problem: describeError(error)});
    }
  }

  private onClaimed(term: Term): void {
    const latestTerm = this.context.state.getSchedulerTerm(this.domain);
    if (
      latestTerm &&
      isSameTerm(latestTerm, term) &&
      this.context.stage !== 'stopping'
    ) {
      this.heldTerm = term;
      this.claimAttempts = 0;
      this.context.scheduler.activate(term);
    }
  }

  private updateCurrentTerm(term: Term | undefined): void {
    const isKnown =
      term === undefined ||
      (this.currentTerm !== undefined && isSameTerm(term, this.currentTerm));
    if (!isKnown) {
      this.currentTerm = term;
      this.termSeenAt = this.context.clock.now();
    }
  }

  private createSituation(now: Instant): ClaimSituation {
    const {context} = this;
    this.takeoverTimes = this.takeoverTimes.filter(
      at => now - at < TAKEOVER_WINDOW_MS,
    );
    const holder = this.currentTerm?.instance;
    const status = context.mesh
      .listPeers()
      .find(peer => peer.address.instance === holder);
    const lastHeardAt =
      holder === undefined ? undefined : context.mesh.findLastHeardAt(holder);
    return {
      now,
      domain: this.domain,
      self: context.settings.instance,
      isSelfReady: isEligible(context),
      isSelfLeaving: context.stage === 'stopping',
      currentTerm: this.currentTerm,
      termSeenAt: this.termSeenAt,
      heldTerm: this.heldTerm,
      eligibleInstances: context.mesh.listEligible(this.domain, now),
      holderLastHeardAt: lastHeardAt,
      holderLeavingSince: status?.leavingSince,
      holderNotReadySince: status?.notReadySince,
      recentTakeovers: this.takeoverTimes.length,
      notBefore: this.notBefore,
      suspectMs: context.settings.timings.suspectMs,
    };
  }
}
