import fc from 'fast-check';
import t from 'tap';
import type {Term} from '@galenavalve/model';
import {type Instant, SeededRandom} from '@galenavalve/shared';
import {
  type ClaimSituation,
  SUCCESSION_STEP_MS,
  SUSPECT_AFTER_MS,
  decideClaim,
  computeNextClaimTime,
} from '../src/index.js';

const TERM: Term = {log: 3, outage: 0, instance: 'a'};
const TICK_MS = 100;

function createSituation(
  changes: Partial<ClaimSituation> = {},
): ClaimSituation {
  return {
    now: 10_000,
    domain: 'north',
    self: 'b',
    isSelfReady: true,
    isSelfLeaving: false,
    currentTerm: TERM,
    termSeenAt: 0,
    eligibleInstances: ['b'],
    recentTakeovers: 0,
    ...changes,
  };
}

t.test('an instance', async t => {
  t.test('waits while the holder of the term is alive', async t => {
    const holderLastHeardAt = 10_000 - SUSPECT_AFTER_MS + 1;
    const decision = decideClaim(createSituation({holderLastHeardAt}));
    t.same(decision, {kind: 'wait', reason: 'holder-alive'});
  });

  t.test(
    'claims the next term when the holder has been silent for the suspicion timeout',
    async t => {
      const holderLastHeardAt = 10_000 - SUSPECT_AFTER_MS;
      const decision = decideClaim(createSituation({holderLastHeardAt}));
      t.same(decision, {kind: 'claim', reason: 'holder-silent'});
    },
  );

  t.test('takes over immediately from a holder that is leaving', async t => {
    const holderLastHeardAt = 9_999;
    const holderLeavingSince = 9_999;
    const situation = createSituation({
      holderLastHeardAt,
      holderLeavingSince,
    });
    t.equal(decideClaim({...situation, now: 10_000}).kind, 'claim');
    t.equal(decideClaim({...situation, isSelfLeaving: true}).kind, 'wait');
    t.equal(decideClaim({...situation, isSelfReady: false}).kind, 'wait');
  });

  t.test(
    'keeps its own term, but replaces that of its earlier process',
    async t => {
      const situation = createSituation({self: 'a'});
      t.equal(decideClaim({...situation, heldTerm: TERM}).kind, 'keep');
      t.same(decideClaim(situation), {kind: 'claim', reason: 'restarted'});
    },
  );
});

/** A log that accepts the first claim of each term, and instances with limited connectivity. */
interface SimulatedElection {
  instances: string[];
  /** Pairs "a b" in which instance a receives the heartbeats of instance b. */
  reachablePairs: Set<string>;
  seed: number;
}

/** Runs an election for `durationMs`; returns the times of the accepted claims. */
function runElection(
  election: SimulatedElection,
  durationMs: number,
): Instant[] {
  const random = new SeededRandom(election.seed);
  const accepted: Instant[] = [];
  let term: Term | undefined;
  let termSeenAt = 0;
  const heldTerms = new Map<string, Term>();
  const notBefore = new Map<string, Instant>();
  for (let now = 0; now < durationMs; now += TICK_MS) {
    // The claims of one tick reach the log in an arbitrary order.
    const claims = election.instances.filter(self => {
      const receivesFrom = (other: string) =>
        election.reachablePairs.has(`${self} ${other}`);
      const holder = term?.instance;
      const isHolderReachable = holder !== undefined && receivesFrom(holder);
      const decision = decideClaim(
        createSituation({
          now,
          self,
          currentTerm: term,
          termSeenAt,
          heldTerm: heldTerms.get(self),
          eligibleInstances: [self, ...election.instances.filter(receivesFrom)],
          holderLastHeardAt: isHolderReachable ? now : undefined,
          recentTakeovers: accepted.filter(at => now - at < 60_000).length,
          notBefore: notBefore.get(self),
        }),
      );
      return decision.kind === 'claim';
    });
    for (const self of claims) {
      notBefore.set(self, computeNextClaimTime(now, 0, random));
    }
    const winner = claims[Math.floor(random.next() * claims.length)];
    if (winner) {
      term = {log: (term?.log ?? 0) + 1, outage: 0, instance: winner};
      heldTerms.set(winner, term);
      termSeenAt = now;
      accepted.push(now);
    }
  }
  return accepted;
}

function countClaimsInMinute(times: Instant[], start: Instant): number {
  return times.filter(at => at >= start && at < start + 60_000).length;
}

t.test('an election', async t => {
  const instances = ['a', 'b', 'c', 'd', 'e'];
  const pairs = instances.flatMap(first =>
    instances.map(second => `${first} ${second}`),
  );

  t.test(
    'has exactly one claim when all instances reach each other',
    async t => {
      const maxClaimTime = instances.length * SUCCESSION_STEP_MS;
      fc.assert(
        fc.property(fc.nat(), seed => {
          const reachablePairs = new Set(pairs);
          const claims = runElection({instances, reachablePairs, seed}, 60_000);
          return claims.length === 1 && claims[0]! < maxClaimTime;
        }),
        {seed: 11, numRuns: 20},
      );
      t.pass();
    },
  );

  // The intervals between takeovers double from 1.6 s, so an eighth claim would follow after 102 s.
  t.test(
    'slows down between instances that cannot reach each other',
    async t => {
      fc.assert(
        fc.property(fc.subarray(pairs), fc.nat(), (subset, seed) => {
          const reachablePairs = new Set(subset);
          const claims = runElection(
            {instances, reachablePairs, seed},
            600_000,
          );
          return claims.every(start => countClaimsInMinute(claims, start) <= 7);
        }),
        {seed: 12, numRuns: 30},
      );
      t.pass();
    },
  );
});
