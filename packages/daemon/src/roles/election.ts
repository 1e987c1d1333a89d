/** Decides, again and again, whether this instance should schedule its failure domain. */
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
const INTERVAL_MS: Milliseconds = 250;

/** After how long a claim that the log does not answer is given up. */
const CLAIM_TIMEOUT_MS: Milliseconds = 3_000;

/** The election of the scheduler of this instance's failure domain. */
export class Election {
  private heldTerm: Term | undefined;
  private presentTerm: Term | undefined;
  private termSeenAt: Instant;
  private attempts = 0;
  private notBefore: Instant | undefined;
  private takeovers: Instant[] = [];

  constructor(private readonly context: DaemonContext) {
    this.termSeenAt = context.clock.now();
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.step();
      await this.context.clock.sleep(INTERVAL_MS, signal);
    }
  }

  /** Takes notice of claims. */
  onApplied(applied: FoldResult): void {
    const {record} = applied;
    if (
      record?.type === 'claimed' &&
      record.domain === this.domain &&
      applied.accepted
    ) {
      this.noteTerm(record.term);
      this.takeovers.push(this.context.clock.now());
    }
  }

  private get domain(): string {
    return this.context.settings.domain;
  }

  private async step(): Promise<void> {
    const {context: node} = this;
    const now = node.clock.now();
    this.noteTerm(node.state.getSchedulerTerm(this.domain));
    const decision = decideClaim(this.describe(now));
    if (decision.kind !== 'claim') {
      return;
    }
    node.logger.info('claiming', {
      domain: this.domain,
      after: this.presentTerm,
      reason: decision.reason,
    });
    await this.claim();
  }

  private async claim(): Promise<void> {
    const {context: node} = this;
    const term: Term = {
      log: (this.presentTerm?.log ?? 0) + 1,
      outage: 0,
      instance: node.settings.instance,
    };
    this.notBefore = computeNextClaimTime(
      node.clock.now(),
      this.attempts++,
      node.random,
    );
    try {
      const deadline = node.clock.now() + CLAIM_TIMEOUT_MS;
      const applied = await node.writer.append(
        {type: 'claimed', domain: this.domain, term},
        {deadline},
      );
      if (applied.accepted) {
        this.onClaimed(term);
      }
    } catch (error) {
      node.logger.warn('claim-failed', {problem: describeError(error)});
    }
  }

  private onClaimed(term: Term): void {
    const present = this.context.state.getSchedulerTerm(this.domain);
    if (
      present &&
      isSameTerm(present, term) &&
      this.context.stage !== 'stopping'
    ) {
      this.heldTerm = term;
      this.attempts = 0;
      this.context.scheduler.activate(term);
    }
  }

  private noteTerm(term: Term | undefined): void {
    const isKnown =
      term === undefined ||
      (this.presentTerm !== undefined && isSameTerm(term, this.presentTerm));
    if (!isKnown) {
      this.presentTerm = term;
      this.termSeenAt = this.context.clock.now();
    }
  }

  private describe(now: Instant): ClaimSituation {
    const {context: node} = this;
    this.takeovers = this.takeovers.filter(at => now - at < TAKEOVER_WINDOW_MS);
    const holder = this.presentTerm?.instance;
    const status = node.mesh
      .listPeers()
      .find(peer => peer.address.instance === holder);
    const heardAt =
      holder === undefined ? undefined : node.mesh.findLastHeardAt(holder);
    return {
      now,
      domain: this.domain,
      self: node.settings.instance,
      isSelfReady: isEligible(node),
      isSelfLeaving: node.stage === 'stopping',
      currentTerm: this.presentTerm,
      termSeenAt: this.termSeenAt,
      heldTerm: this.heldTerm,
      eligibleInstances: node.mesh.listEligible(this.domain, now),
      holderLastHeardAt: heardAt,
      holderLeavingSince: status?.leavingSince,
      holderNotReadySince: status?.notReadySince,
      recentTakeovers: this.takeovers.length,
      notBefore: this.notBefore,
      suspectMs: node.settings.timings.suspectMs,
    };
  }
}
